package event

import (
	"sync/atomic"
	"time"
)

// perSecond bounds the lines of one event, so that logging takes a small share of a small instance: at a few microseconds a line, a tenth of a percent of a core for each event.
const perSecond = 400

// maxNumber bounds the numbers of events.
const maxNumber = 1000

// limiter counts the lines of one event within the current second.
type limiter struct {
	second  atomic.Int64
	lines   atomic.Int64
	omitted atomic.Int64
}

var limiters [maxNumber]limiter

// allow says whether a line may be written now, and how many were left out in the seconds before.
func (l *limiter) allow(now time.Time) (ok bool, omitted int64) {
	second := now.Unix()
	if last := l.second.Load(); last != second && l.second.CompareAndSwap(last, second) {
		l.lines.Store(0)
		omitted = l.omitted.Swap(0)
	}
	if l.lines.Add(1) > perSecond {
		l.omitted.Add(1)
		return false, omitted
	}
	return true, omitted
}
