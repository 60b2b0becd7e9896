package replica

import (
	"context"

	"daisyswitch/proposal"
	"daisyswitch/raft"
	"daisyswitch/verdict"
)

// MaxRecordBytes is the maximum size of a record. Propose rejects larger ones.
const MaxRecordBytes = 2 << 20

// Propose appends data to the log and returns the result of Apply. An error is a *verdict.Error that says whether the record may still be applied.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) == 0 || len(data) > MaxRecordBytes {
		return nil, verdict.New(verdict.NotRun, "record is empty or larger than 2 MiB", nil)
	}
	if !r.IsLeader() {
		return nil, r.notLeaderError(verdict.NotRun, "this replica does not lead")
	}
	p := proposal.New(data)
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, verdict.New(verdict.NotRun, "request ended before the record was appended", ctx.Err())
	case <-r.ended:
		return nil, r.endedError(verdict.NotRun)
	}
	select {
	case o := <-p.Done():
		return o.Result, o.Err
	case <-ctx.Done():
		return nil, verdict.New(p.Withdraw(), "request ended before the record was applied", ctx.Err())
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
	return verdict.New(v, "this replica has stopped", r.info.Load().Err)
}

// propose appends first and all queued proposals as one batch, so that one sync covers them all.
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

// failPending fails the proposals whose records are appended but not committed, with verdict Unknown since they may still be applied.
func (r *Replica) failPending(reason string) {
	for index, p := range r.pending {
		p.Finish(proposal.Outcome{Err: r.notLeaderError(verdict.Unknown, reason)})
		delete(r.pending, index)
	}
}
