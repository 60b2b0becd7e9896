package replica

import (
	"context"

	"daisyswitch/raft"
	"daisyswitch/verdict"
)

// pendingRead waits until its round is confirmed and what was committed before it is applied.
type pendingRead struct {
	round uint64 // 0 until one was begun after the read arrived
	index uint64 // what has to be applied
	done  chan error
}

// Confirm returns once a quorum has answered that this replica leads and all that was committed before is applied.
func (r *Replica) Confirm(ctx context.Context) error {
	if !r.IsLeader() {
		return r.notLeaderError(verdict.NotRun, "this replica does not lead")
	}
	q := &pendingRead{done: make(chan error, 1)}
	select {
	case r.reads <- q:
	case <-ctx.Done():
		return unconfirmedError(ctx)
	case <-r.ended:
		return r.endedError(verdict.NotRun)
	}
	select {
	case err := <-q.done:
		return err
	case <-ctx.Done():
		return unconfirmedError(ctx)
	case <-r.ended:
		return r.endedError(verdict.NotRun)
	}
}

func unconfirmedError(ctx context.Context) error {
	return verdict.New(verdict.NotRun, "gave up before the read was confirmed", ctx.Err())
}

// startReadRound gives the reads that arrived since the last round one of their own, unless one is on its way.
func (r *Replica) startReadRound() {
	if len(r.newReads) == 0 || r.node.Confirmed() < r.node.Round() || !r.canServe() {
		return
	}
	r.node.StartRound()
}

// assignReads ties the reads that arrived to a round that was just begun.
func (r *Replica) assignReads(round uint64) {
	if !r.canServe() {
		return
	}
	for _, q := range r.newReads {
		q.round, q.index = round, r.node.Commit()
		r.roundReads = append(r.roundReads, q)
	}
	r.newReads = nil
}

// canServe says whether this node leads and has committed an entry of its term, so that its commit index is no older than any leader's before it.
func (r *Replica) canServe() bool {
	return r.node.Role() == raft.Leader && !r.transferring && r.node.Commit() >= r.node.TermStart() && r.node.Confirmed() > 0
}

// completeReads answers the reads whose round is confirmed, after what is handed to the applier already.
func (r *Replica) completeReads() {
	for len(r.roundReads) > 0 && r.roundReads[0].round <= r.node.Confirmed() && r.delivered >= r.roundReads[0].index {
		q := r.roundReads[0]
		r.roundReads = r.roundReads[1:]
		r.applier.Push(func() { q.done <- nil })
	}
}

// rejectReads tells the waiting reads that this replica does not lead.
func (r *Replica) rejectReads() {
	for _, q := range append(r.roundReads, r.newReads...) {
		q.done <- r.notLeaderError(verdict.NotRun, "this replica does not lead")
	}
	r.roundReads, r.newReads = nil, nil
}
