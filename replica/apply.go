package replica

import (
	"sync/atomic"

	"daisyswitch/event"
	"daisyswitch/proposal"
	"daisyswitch/serial"
	"daisyswitch/wire"
)

// applier runs what the loop hands it, in order, in one goroutine; the loop never waits for it.
type applier struct {
	*serial.Queue
	snapshotIndex      uint64        // index of the last snapshot begun
	members            *wire.Members // of the group, as of what is applied; nil until the log says
	snapshotInProgress atomic.Bool   // a snapshot is being written
	restoreFailed      bool          // a snapshot could not be restored, so that later records have no state to apply to
}

// committed is an entry with the proposal that waits for it, if it was made here.
type committed struct {
	*wire.Entry
	proposal *proposal.Proposal
}

// apply runs in the applier.
func (r *Replica) apply(entries []committed) {
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

// snapshotAfter takes a snapshot when enough entries were applied since the last; writing it does not hold up the next ones.
func (r *Replica) snapshotAfter(e *wire.Entry) {
	a := &r.applier
	if e.GetIndex() < a.snapshotIndex+r.options.SnapshotEvery || !a.snapshotInProgress.CompareAndSwap(false, true) {
		return
	}
	a.snapshotIndex = e.GetIndex()
	s := &wire.Snapshot{Index: e.GetIndex(), Term: e.GetTerm(), Data: r.options.Snapshot(), Members: a.members}
	r.tasks.Go(func() {
		defer a.snapshotInProgress.Store(false)
		r.save(s)
	})
}

func (r *Replica) save(s *wire.Snapshot) {
	if err := r.disk.WriteSnapshot(s); err != nil {
		r.reportFailure(err)
		return
	}
	event.SnapshotSaved.Info("replica", r.options.ID, "index", s.GetIndex(), "bytes", len(s.GetData()))
	select {
	case r.savedSnapshots <- s.GetIndex():
	case <-r.ended:
	}
}

// reportFailure makes the loop end this replica's part.
func (r *Replica) reportFailure(err error) {
	select {
	case r.failures <- err:
	case <-r.ended:
	}
}

// restore runs in the applier.
func (r *Replica) restore(s *wire.Snapshot) {
	if err := r.options.Restore(s.GetData()); err != nil {
		r.applier.restoreFailed = true
		r.reportFailure(err)
		return
	}
	r.applier.snapshotIndex = s.GetIndex()
	if s.GetMembers() != nil {
		r.applier.members = s.GetMembers()
	}
	r.applied.Store(s.GetIndex())
	event.SnapshotInstalled.Info("replica", r.options.ID, "index", s.GetIndex(), "bytes", len(s.GetData()))
}
