package replica

import (
	"errors"
	"sync/atomic"

	"daisyswitch/disk"
	"daisyswitch/event"
	"daisyswitch/proposal"
	"daisyswitch/serial"
	"daisyswitch/wire"
)

// applier runs functions queued by the loop, in order, in one goroutine. The loop never waits for it.
type applier struct {
	*serial.Queue
	snapshotIndex      uint64        // index of the last snapshot that was started or restored
	bytesSinceSnapshot uint64        // of the entries applied since then
	members            *wire.Members // of the group, as of the last applied entry; nil until the log holds a configuration
	snapshotInProgress atomic.Bool   // a snapshot is being written
	restoreFailed      bool          // a snapshot could not be restored, so there is no state to apply later records to
}

// committedEntry is a committed log entry with the pending proposal of this replica that it belongs to, if any.
type committedEntry struct {
	*wire.Entry
	proposal *proposal.Proposal
}

// applyEntries applies committed entries to the state machine. It runs in the applier's goroutine.
func (r *Replica) applyEntries(entries []committedEntry) {
	if r.applier.restoreFailed {
		return
	}
	for _, e := range entries {
		var result any
		if len(e.GetData()) > 0 {
			result = r.options.Apply(e.GetIndex(), e.GetData())
		}
		if e.GetMembers() != nil {
			r.applier.members = e.GetMembers()
		}
		r.applied.Store(e.GetIndex())
		if e.proposal != nil {
			e.proposal.Finish(proposal.Outcome{Result: result})
		}
		r.snapshotAfter(e.Entry)
	}
}

// snapshotAfter takes a snapshot when SnapshotEvery entries or SnapshotBytes of them have been applied since the last one. It is written in the background, so later entries do not wait for it.
func (r *Replica) snapshotAfter(e *wire.Entry) {
	a := &r.applier
	a.bytesSinceSnapshot += uint64(len(e.GetData()))
	isDue := e.GetIndex() >= a.snapshotIndex+r.options.SnapshotEvery || a.bytesSinceSnapshot >= r.options.SnapshotBytes
	if !isDue || !a.snapshotInProgress.CompareAndSwap(false, true) {
		return
	}
	a.snapshotIndex, a.bytesSinceSnapshot = e.GetIndex(), 0
	s := &wire.Snapshot{Index: e.GetIndex(), Term: e.GetTerm(), Data: r.options.Snapshot(), Members: a.members}
	r.tasks.Go(func() {
		defer a.snapshotInProgress.Store(false)
		r.saveSnapshot(s)
	})
}

func (r *Replica) saveSnapshot(s *wire.Snapshot) {
	err := r.disk.WriteSnapshot(s)
	if errors.Is(err, disk.ErrFull) {
		event.SnapshotNotSaved.Error(err, "replica", r.options.ID, "index", s.GetIndex())
		return // the log is kept until the next snapshot
	}
	if err != nil {
		r.reportFailure(err)
		return
	}
	event.SnapshotSaved.Info("replica", r.options.ID, "index", s.GetIndex(), "bytes", len(s.GetData()))
	select {
	case r.savedSnapshots <- s.GetIndex():
	case <-r.ended:
	}
}

// reportFailure makes the loop stop with err.
func (r *Replica) reportFailure(err error) {
	select {
	case r.failures <- err:
	case <-r.ended:
	}
}

// restoreSnapshot replaces the state machine's state by a received snapshot. It runs in the applier's goroutine.
func (r *Replica) restoreSnapshot(s *wire.Snapshot) {
	if err := r.options.Restore(s.GetData()); err != nil {
		r.applier.restoreFailed = true
		r.reportFailure(err)
		return
	}
	r.applier.snapshotIndex, r.applier.bytesSinceSnapshot = s.GetIndex(), 0
	if s.GetMembers() != nil {
		r.applier.members = s.GetMembers()
	}
	r.applied.Store(s.GetIndex())
	event.SnapshotInstalled.Info("replica", r.options.ID, "index", s.GetIndex(), "bytes", len(s.GetData()))
}
