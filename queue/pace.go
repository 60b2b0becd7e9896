package queue

import "time"

const (
	intervalWeight = 0.1         // weight of the newest interval
	maxInterval    = time.Second // longer intervals are not used for the estimate
)

// departureRate estimates the rate at which waiters leave a queue.
type departureRate struct {
	interval time.Duration // moving average of the time between two departures, 0 if unknown
	last     time.Time
}

// recordDeparture records a departure.
func (p *departureRate) recordDeparture(now time.Time) {
	since := now.Sub(p.last)
	known := !p.last.IsZero() && since < maxInterval
	p.last = now
	if !known {
		return
	}
	if p.interval == 0 {
		p.interval = since
		return
	}
	p.interval += time.Duration(intervalWeight * float64(since-p.interval))
}

// skipInterval excludes the interval up to the next departure from the estimate, since the queue is empty.
func (p *departureRate) skipInterval() {
	p.last = time.Time{}
}

// estimateWait estimates how long a request waits behind n others.
func (p *departureRate) estimateWait(n int) time.Duration {
	return time.Duration(n) * p.interval
}
