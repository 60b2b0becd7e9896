package retry

import (
	"sync"
	"time"
)

const (
	slices = 10 // of a second each
	slice  = time.Second
)

// Budget bounds retries to a share of the requests of the last seconds, so that an outage is not made worse by them.
type Budget struct {
	percent int64

	mu      sync.Mutex
	window  [slices]count
	sum     count
	present int64 // number of the slice that it is
}

type count struct {
	requests, retries int64
}

// New returns a budget of percent of the requests.
func New(percent int64) *Budget {
	return &Budget{percent: percent}
}

// Request counts a request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(now)
	b.window[b.present%slices].requests++
	b.sum.requests++
}

// Retry takes one retry from the budget and reports whether there was one left.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(now)
	if (b.sum.retries+1)*100 > b.sum.requests*b.percent {
		return false
	}
	b.window[b.present%slices].retries++
	b.sum.retries++
	return true
}

// turn empties the slices that are too old; called with the lock held.
func (b *Budget) turn(now time.Time) {
	second := now.UnixNano() / int64(slice)
	if second-b.present > slices {
		b.present = second - slices
	}
	for b.present < second {
		b.present++
		old := &b.window[b.present%slices]
		b.sum.requests -= old.requests
		b.sum.retries -= old.retries
		*old = count{}
	}
}
