package retry

import (
	"sync"
	"time"
)

const (
	slices      = 10 // number of slices in the window
	sliceLength = time.Second
)

// Budget limits retries to a percentage of the requests in a sliding window, so that retries don't amplify an outage.
type Budget struct {
	percent int64

	mu      sync.Mutex
	window  [slices]counts
	sum     counts
	current int64 // number of the current slice
}

type counts struct {
	requests, retries int64
}

// New returns a budget that allows retries up to percent of the requests.
func New(percent int64) *Budget {
	return &Budget{percent: percent}
}

// Request counts a request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.window[b.current%slices].requests++
	b.sum.requests++
}

// Retry consumes one retry and reports whether the budget allows it.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if (b.sum.retries+1)*100 > b.sum.requests*b.percent {
		return false
	}
	b.window[b.current%slices].retries++
	b.sum.retries++
	return true
}

// advance advances the window to now and clears expired slices; called with the lock held.
func (b *Budget) advance(now time.Time) {
	second := now.UnixNano() / int64(sliceLength)
	if second-b.current > slices {
		b.current = second - slices
	}
	for b.current < second {
		b.current++
		expired := &b.window[b.current%slices]
		b.sum.requests -= expired.requests
		b.sum.retries -= expired.retries
		*expired = counts{}
	}
}
