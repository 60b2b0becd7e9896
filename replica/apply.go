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
	snapshot uint64        // index of the last snapshot begun
	members  *wire.Members // of the group, as of what is applied; nil until the log says
	saving   atomic.Bool   // a snapshot is being written
	failed   bool          // a snapshot could not be restored, so that later records have no state to apply to
}

// committed is an entry with the proposal that waits for it, if it was made here.
type committed struct {
	*wire.Entry
	proposal *proposal.Proposal
}

// apply runs in the applier.
func (r *Replica) apply(entries []committed) {
	if r.applier.failed {
		return
	}
	for _, e := range entries {
		var result any
		if len(e.GetData()) > 0 {
			result = r.o.Apply(e.GetIndex(), e.GetData())
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
	if e.GetIndex() < a.snapshot+r.o.SnapshotEvery || !a.saving.CompareAndSwap(false, true) {
		return
	}
	a.snapshot = e.GetIndex()
	s := &wire.Snapshot{Index: e.GetIndex(), Term: e.GetTerm(), Data: r.o.Snapshot(), Members: a.members}
	r.tasks.Go(func() {
		defer a.saving.Store(false)
		r.save(s)
	})
}

func (r *Replica) save(s *wire.Snapshot) {
	if err := r.disk.WriteSnapshot(s); err != nil {
		r.reportBroken(err)
		return
	}
	event.SnapshotSaved.Info("replica", r.o.ID, "index", s.GetIndex(), "bytes", len(s.GetData()))
	select {
	case r.saved <- s.GetIndex():
	case <-r.ended:
	}
}

// reportBroken makes the loop end this replica's part.
func (r *Replica) reportBroken(err error) {
	select {
	case r.broken <- err:
	case <-r.ended:
	}
}

// restore runs in the applier.
func (r *Replica) restore(s *wire.Snapshot) {
	if err := r.o.Restore(s.GetData()); err != nil {
		r.applier.failed = true
		r.reportBroken(err)
		return
	}
	r.applier.snapshot = s.GetIndex()
	if s.GetMembers() != nil {
		r.applier.members = s.GetMembers()
	}
	r.applied.Store(s.GetIndex())
	event.SnapshotInstalled.Info("replica", r.o.ID, "index", s.GetIndex(), "bytes", len(s.GetData()))
}
