package replica

import (
	"context"

	"daisyswitch/raft"
	"daisyswitch/verdict"
)

// pendingRead waits until its heartbeat round is confirmed and all entries committed before that round are applied.
type pendingRead struct {
	round uint64 // 0 until a round starts after the read arrived
	index uint64 // last index that must be applied first
	done  chan error
}

// ReadBarrier returns once a quorum has confirmed that this replica leads and every entry committed before that is applied.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	if !r.IsLeader() {
		return r.notLeaderError(verdict.NotRun, "this replica does not lead")
	}
	read := &pendingRead{done: make(chan error, 1)}
	select {
	case r.reads <- read:
	case <-ctx.Done():
		return unconfirmedError(ctx)
	case <-r.ended:
		return r.endedError(verdict.NotRun)
	}
	select {
	case err := <-read.done:
		return err
	case <-ctx.Done():
		return unconfirmedError(ctx)
	case <-r.ended:
		return r.endedError(verdict.NotRun)
	}
}

func unconfirmedError(ctx context.Context) error {
	return verdict.New(verdict.NotRun, "request ended before the read was confirmed", ctx.Err())
}

// startReadRound starts a heartbeat round for the reads that arrived since the last one, unless a round is still unconfirmed.
func (r *Replica) startReadRound() {
	if len(r.newReads) == 0 || r.node.Confirmed() < r.node.Round() || !r.canServe() {
		return
	}
	r.node.StartRound()
}

// assignReads assigns the new reads to a round that has just started.
func (r *Replica) assignReads(round uint64) {
	if !r.canServe() {
		return
	}
	for _, read := range r.newReads {
		read.round, read.index = round, r.node.Commit()
		r.assignedReads = append(r.assignedReads, read)
	}
	r.newReads = nil
}

// canServe reports whether this replica leads, is not transferring leadership, has room on its disk, has committed an entry of its term and has had a round confirmed. An entry of its term ensures that its commit index is not behind that of any earlier leader.
func (r *Replica) canServe() bool {
	return r.node.Role() == raft.Leader && !r.transferring && !r.diskFull && r.node.Commit() >= r.node.TermStart() && r.node.Confirmed() > 0
}

// completeReads answers the reads whose round is confirmed, after the entries already queued in the applier.
func (r *Replica) completeReads() {
	for len(r.assignedReads) > 0 && r.assignedReads[0].round <= r.node.Confirmed() && r.delivered >= r.assignedReads[0].index {
		read := r.assignedReads[0]
		r.assignedReads = r.assignedReads[1:]
		r.applier.Push(func() { read.done <- nil })
	}
}

// rejectReads fails all waiting reads because this replica does not lead.
func (r *Replica) rejectReads() {
	for _, read := range append(r.assignedReads, r.newReads...) {
		read.done <- r.notLeaderError(verdict.NotRun, "this replica does not lead")
	}
	r.assignedReads, r.newReads = nil, nil
}
