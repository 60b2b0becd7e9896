package replica

import (
	"context"

	"daisyswitch/raft"
	"daisyswitch/verdict"
)

// read waits until its round is confirmed and what was committed before it is applied.
type read struct {
	round uint64 // 0 until one was begun after the read arrived
	index uint64 // what has to be applied
	done  chan error
}

// Confirm returns once a quorum has answered that this replica leads and all that was committed before is applied.
func (r *Replica) Confirm(ctx context.Context) error {
	if !r.IsLeader() {
		return r.refusal(verdict.NotRun, "this replica does not lead")
	}
	q := &read{done: make(chan error, 1)}
	select {
	case r.reads <- q:
	case <-ctx.Done():
		return unconfirmed(ctx)
	case <-r.ended:
		return r.gone(verdict.NotRun)
	}
	select {
	case err := <-q.done:
		return err
	case <-ctx.Done():
		return unconfirmed(ctx)
	case <-r.ended:
		return r.gone(verdict.NotRun)
	}
}

func unconfirmed(ctx context.Context) error {
	return verdict.New(verdict.NotRun, "gave up before the read was confirmed", ctx.Err())
}

// startReads gives the reads that arrived since the last round one of their own, unless one is on its way.
func (r *Replica) startReads() {
	if len(r.arrived) == 0 || r.node.Confirmed() < r.node.Round() || !r.serves() {
		return
	}
	r.node.StartRound()
}

// assignReads ties the reads that arrived to a round that was just begun.
func (r *Replica) assignReads(round uint64) {
	if !r.serves() {
		return
	}
	for _, q := range r.arrived {
		q.round, q.index = round, r.node.Commit()
		r.asked = append(r.asked, q)
	}
	r.arrived = nil
}

// serves says whether this node leads and has committed an entry of its term, so that its commit index is no older than any leader's before it.
func (r *Replica) serves() bool {
	return r.node.Role() == raft.Leader && !r.yielding && r.node.Commit() >= r.node.TermStart() && r.node.Confirmed() > 0
}

// finishReads answers the reads whose round is confirmed, after what is handed to the applier already.
func (r *Replica) finishReads() {
	for len(r.asked) > 0 && r.asked[0].round <= r.node.Confirmed() && r.delivered >= r.asked[0].index {
		q := r.asked[0]
		r.asked = r.asked[1:]
		r.applier.Push(func() { q.done <- nil })
	}
}

// refuseReads tells the waiting reads that this replica does not lead.
func (r *Replica) refuseReads() {
	for _, q := range append(r.asked, r.arrived...) {
		q.done <- r.refusal(verdict.NotRun, "this replica does not lead")
	}
	r.asked, r.arrived = nil, nil
}
