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

// Outcome is what became of a proposal; without Err, Result is what applying it returned.
type Outcome struct {
	Result any
	Err    error
}

// The states of a proposal.
const (
	waiting int32 = iota
	taken
	withdrawn
)

// New returns a proposal that waits to be taken.
func New(data []byte) *Proposal {
	return &Proposal{Data: data, done: make(chan Outcome, 1)}
}

// Done returns where the one outcome arrives.
func (p *Proposal) Done() <-chan Outcome { return p.done }

// Finish gives the outcome to whoever waits; it may be called once and never blocks.
func (p *Proposal) Finish(o Outcome) {
	p.done <- o
}

// Withdraw gives the proposal up and says whether its record may yet be applied: not if nobody has taken it.
func (p *Proposal) Withdraw() verdict.Verdict {
	if p.state.CompareAndSwap(waiting, withdrawn) {
		return verdict.NotRun
	}
	return verdict.Unknown
}

func (p *Proposal) take() bool {
	return p.state.CompareAndSwap(waiting, taken)
}
