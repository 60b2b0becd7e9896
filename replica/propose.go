package replica

import (
	"context"

	"daisyswitch/proposal"
	"daisyswitch/raft"
	"daisyswitch/verdict"
)

// MaxRecordBytes bounds one record, which its sender has to keep to.
const MaxRecordBytes = 2 << 20

// Propose appends data to the log and returns what Apply made of it; an error is a *verdict.Error that says whether the record may yet be applied.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) == 0 || len(data) > MaxRecordBytes {
		return nil, verdict.New(verdict.NotRun, "record is empty or too large", nil)
	}
	if !r.IsLeader() {
		return nil, r.notLeaderError(verdict.NotRun, "this replica does not lead")
	}
	p := proposal.New(data)
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, verdict.New(verdict.NotRun, "gave up before the record was appended", ctx.Err())
	case <-r.ended:
		return nil, r.endedError(verdict.NotRun)
	}
	select {
	case o := <-p.Done():
		return o.Result, o.Err
	case <-ctx.Done():
		return nil, verdict.New(p.Withdraw(), "gave up waiting", ctx.Err())
	case <-r.ended:
		return r.lastOutcome(p)
	}
}

// lastOutcome returns the outcome of a proposal after the loop has ended.
func (r *Replica) lastOutcome(p *proposal.Proposal) (any, error) {
	select {
	case o := <-p.Done():
		return o.Result, o.Err
	default:
		return nil, r.endedError(p.Withdraw())
	}
}

func (r *Replica) endedError(v verdict.Verdict) error {
	return verdict.New(v, "this replica no longer takes part", r.info.Load().Err)
}

// propose appends all proposals at hand as one batch, so that one sync serves them all.
func (r *Replica) propose(first *proposal.Proposal) {
	proposals := proposal.Batch(first, r.proposals)
	if len(proposals) == 0 {
		return
	}
	if r.node.Role() != raft.Leader || !r.IsLeader() {
		for _, p := range proposals {
			p.Finish(proposal.Outcome{Err: r.notLeaderError(verdict.NotRun, "this replica does not lead")})
		}
		return
	}
	batch := make([][]byte, len(proposals))
	for i, p := range proposals {
		batch[i] = p.Data
	}
	index, _ := r.node.Propose(batch)
	for i, p := range proposals {
		r.pending[index+uint64(i)] = p
	}
}

// failPending says of every record that is appended but not committed that it may yet be applied.
func (r *Replica) failPending(reason string) {
	for index, p := range r.pending {
		p.Finish(proposal.Outcome{Err: r.notLeaderError(verdict.Unknown, reason)})
		delete(r.pending, index)
	}
}
