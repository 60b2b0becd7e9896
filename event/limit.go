package event

import (
	"sync/atomic"
	"time"
)

// maxLinesPerSecond bounds the lines of one event, so that logging uses little of a small instance: at a few microseconds a line, a tenth of a percent of a core for each event.
const maxLinesPerSecond = 400

// maxNumber is the exclusive upper bound of event numbers.
const maxNumber = 1000

// limiter counts the lines of one event in the current second.
type limiter struct {
	second  atomic.Int64
	lines   atomic.Int64
	omitted atomic.Int64
}

var limiters [maxNumber]limiter

// allow reports whether a line may be written now, and how many lines were omitted in the preceding seconds.
func (l *limiter) allow(now time.Time) (ok bool, omitted int64) {
	second := now.Unix()
	if last := l.second.Load(); last != second && l.second.CompareAndSwap(last, second) {
		l.lines.Store(0)
		omitted = l.omitted.Swap(0)
	}
	if l.lines.Add(1) > maxLinesPerSecond {
		l.omitted.Add(1)
		return false, omitted
	}
	return true, omitted
}
