package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"daisyswitch/event"

	"github.com/VictoriaMetrics/metrics"
)

// Process holds the budgets that all listeners of a process share.
type Process struct {
	limits   Limits
	reading  budget
	decoding budget
	logged   atomic.Int64 // the second of the last line in the log
	unlogged atomic.Int64 // refusals since then
}

// New returns the budgets of a process.
func New(l Limits) *Process {
	return &Process{limits: l, reading: budget{limit: l.Reading}, decoding: budget{limit: l.Decoding}}
}

// Default returns budgets for a process whose memory and descriptors are not known.
func Default() *Process { return New(LimitsFor(0, assumedFDs)) }

// budget counts bytes against a limit. A single charge above the limit is allowed while nothing else is charged, so that no legal request is refused forever.
type budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

func (b *budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used > 0 && b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

func (b *budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// cause is why a client was refused or its connection closed.
type cause string

const (
	causeHead       cause = "head"       // no memory for a large head
	causeTooLarge   cause = "too large"  // body above the limit
	causeCostly     cause = "costly"     // decoding the body would take too much memory
	causeFraming    cause = "framing"    // too much chunk framing
	causeSlow       cause = "slow"       // body below the minimum rate
	causeIncomplete cause = "incomplete" // body ended early or malformed
	causeMemory     cause = "memory"     // no memory for a large body
	causeFull       cause = "full"       // all connections are in use
	causeIdle       cause = "idle"       // idle connection closed for a new one
	causeProgress   cause = "progress"   // connection with the least progress closed for a new one
)

var counters = map[cause]*metrics.Counter{}

func init() {
	for _, c := range []cause{causeHead, causeTooLarge, causeCostly, causeFraming, causeSlow, causeIncomplete, causeMemory, causeFull, causeIdle, causeProgress} {
		counters[c] = metrics.NewCounter(`daisyswitch_ingress_refused_total{cause="` + string(c) + `"}`)
	}
}

// count counts a refusal and logs at most one line a second.
func (p *Process) count(c cause, client string) {
	counters[c].Inc()
	p.unlogged.Add(1)
	now := time.Now().Unix()
	if last := p.logged.Load(); last != now && p.logged.CompareAndSwap(last, now) {
		event.ClientsRefused.Info("cause", string(c), "client", client, "refused", p.unlogged.Swap(0))
	}
}
