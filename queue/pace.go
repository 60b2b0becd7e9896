package queue

import "time"

const (
	paceWeight = 0.1         // of the newest interval
	paceIdle   = time.Second // an interval longer than this says nothing of the pace
)

// pace estimates how fast a line moves.
type pace struct {
	interval time.Duration // mean time between two departures, 0 if unknown
	last     time.Time
}

// left notes a departure.
func (p *pace) left(now time.Time) {
	since := now.Sub(p.last)
	known := !p.last.IsZero() && since < paceIdle
	p.last = now
	if !known {
		return
	}
	if p.interval == 0 {
		p.interval = since
		return
	}
	p.interval += time.Duration(paceWeight * float64(since-p.interval))
}

// pause says that the line is empty, so that the time to the next departure tells nothing.
func (p *pace) pause() {
	p.last = time.Time{}
}

// wait estimates how long one waits behind n others.
func (p *pace) wait(n int) time.Duration {
	return time.Duration(n) * p.interval
}
