package proposal

import (
	"sync/atomic"

	"daisyswitch/verdict"
)

// Proposal is one record on its way into the log.
type Proposal struct {
	Data  []byte
	state atomic.Int32
	done  chan Outcome // holds one
}

// Outcome is the outcome of a proposal; if Err is nil, Result is the value that applying the record returned.
type Outcome struct {
	Result any
	Err    error
}

// The states of a proposal.
const (
	stateWaiting int32 = iota
	stateTaken
	stateWithdrawn
)

// New returns a proposal in the waiting state.
func New(data []byte) *Proposal {
	return &Proposal{Data: data, done: make(chan Outcome, 1)}
}

// Done returns the channel that receives the one outcome.
func (p *Proposal) Done() <-chan Outcome { return p.done }

// Finish delivers the outcome to the waiting caller; it may be called only once and never blocks.
func (p *Proposal) Finish(o Outcome) {
	p.done <- o
}

// Withdraw cancels the proposal and returns NotRun if the loop has not taken it, or else Unknown, since its record may still be applied.
func (p *Proposal) Withdraw() verdict.Verdict {
	if p.state.CompareAndSwap(stateWaiting, stateWithdrawn) {
		return verdict.NotRun
	}
	return verdict.Unknown
}

func (p *Proposal) markTaken() bool {
	return p.state.CompareAndSwap(stateWaiting, stateTaken)
}
