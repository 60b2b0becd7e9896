package replica

import (
	"context"
	"sync/atomic"

	"daisyswitch/raft"
	"daisyswitch/verdict"
)

// Bounds of records and of the groups that are synced together.
const (
	MaxRecordBytes = 2 << 20
	maxGroup       = 1024 // records
	maxGroupBytes  = 4 << 20
)

// proposal is one record on its way into the log.
type proposal struct {
	data  []byte
	state atomic.Int32
	done  chan outcome // holds one
}

// The states of a proposal; it is either taken by the loop or withdrawn by its caller.
const (
	waiting int32 = iota
	taken
	withdrawn
)

type outcome struct {
	result any
	err    error
}

// Propose appends data to the log and returns what Apply made of it; an error is a *verdict.Error that says whether the record may yet be applied.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) == 0 || len(data) > MaxRecordBytes {
		return nil, verdict.New(verdict.NotRun, "record is empty or too large", nil)
	}
	if !r.IsLeader() {
		return nil, r.refusal(verdict.NotRun, "this replica does not lead")
	}
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, verdict.New(verdict.NotRun, "gave up before the record was appended", ctx.Err())
	case <-r.ended:
		return nil, r.gone(verdict.NotRun)
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, verdict.New(p.fate(), "gave up waiting", ctx.Err())
	case <-r.ended:
		return p.last(r)
	}
}

// fate withdraws a proposal if the loop has not taken it.
func (p *proposal) fate() verdict.Verdict {
	if p.state.CompareAndSwap(waiting, withdrawn) {
		return verdict.NotRun
	}
	return verdict.Unknown
}

// last returns the outcome of a proposal after the loop has ended.
func (p *proposal) last(r *Replica) (any, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, r.gone(p.fate())
	}
}

func (r *Replica) gone(v verdict.Verdict) error {
	return verdict.New(v, "this replica no longer takes part", r.info.Load().Err)
}

// propose appends all proposals at hand as one group, so that one sync serves them all.
func (r *Replica) propose(first *proposal) {
	group := r.gather(first)
	if len(group) == 0 {
		return
	}
	if r.node.Role() != raft.Leader || !r.IsLeader() {
		for _, p := range group {
			p.done <- outcome{err: r.refusal(verdict.NotRun, "this replica does not lead")}
		}
		return
	}
	batch := make([][]byte, len(group))
	for i, p := range group {
		batch[i] = p.data
	}
	index, _ := r.node.Propose(batch)
	for i, p := range group {
		r.pending[index+uint64(i)] = p
	}
}

// gather takes the proposals that wait, up to the bounds of a group.
func (r *Replica) gather(first *proposal) []*proposal {
	var group []*proposal
	size := 0
	for p := first; ; {
		if p.state.CompareAndSwap(waiting, taken) {
			group = append(group, p)
			size += len(p.data)
		}
		if len(group) >= maxGroup || size >= maxGroupBytes {
			return group
		}
		select {
		case p = <-r.proposals:
		default:
			return group
		}
	}
}

// abandon says of every record that is appended but not committed that it may yet be applied.
func (r *Replica) abandon(reason string) {
	for index, p := range r.pending {
		p.done <- outcome{err: r.refusal(verdict.Unknown, reason)}
		delete(r.pending, index)
	}
}
