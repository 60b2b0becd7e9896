package caller

import (
	"sync"
	"time"
)

const (
	budgetSlices = 10 // of a second each
	budgetSlice  = time.Second
)

// budget bounds retries to a share of the requests of the last seconds, so that an outage is not made worse by them.
type budget struct {
	percent int64

	mu     sync.Mutex
	slices [budgetSlices]budgetCount
	sum    budgetCount
	slice  int64 // number of the present slice
}

type budgetCount struct {
	requests, retries int64
}

func newBudget(percent int64) *budget {
	return &budget{percent: percent}
}

// request counts a request.
func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(now)
	b.slices[b.slice%budgetSlices].requests++
	b.sum.requests++
}

// retry takes one retry from the budget and reports whether there was one left.
func (b *budget) retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(now)
	if (b.sum.retries+1)*100 > b.sum.requests*b.percent {
		return false
	}
	b.slices[b.slice%budgetSlices].retries++
	b.sum.retries++
	return true
}

// turn empties the slices that are too old; called with the lock held.
func (b *budget) turn(now time.Time) {
	present := now.UnixNano() / int64(budgetSlice)
	if present-b.slice > budgetSlices {
		b.slice = present - budgetSlices
	}
	for b.slice < present {
		b.slice++
		old := &b.slices[b.slice%budgetSlices]
		b.sum.requests -= old.requests
		b.sum.retries -= old.retries
		*old = budgetCount{}
	}
}
