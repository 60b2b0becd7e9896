package share

import (
	"slices"
	"time"

	"daisyswitch/resource"
)

// minFullTime is for how long work that is on time must have found no room before a pool is full. It is the shortest latency objective of a queue; a shorter wait costs callers nothing.
const minFullTime = 250 * time.Millisecond

// maxWaitingSizes bounds the sizes that are kept of a pool's waiting work.
const maxWaitingSizes = 16

// Waits describes the work of a pool that is on time and found no room. It is not changed once it is shared.
type Waits struct {
	since time.Duration
	sizes []resource.Size // of one task each; none of them is as large as another
}

// AddWaiting adds the size of a task to sizes of which none is as large as another.
func AddWaiting(sizes []resource.Size, size resource.Size) []resource.Size {
	if slices.ContainsFunc(sizes, func(s resource.Size) bool { return s.Fits(size) }) {
		return sizes
	}
	sizes = slices.DeleteFunc(sizes, size.Fits)
	if len(sizes) == maxWaitingSizes {
		return sizes
	}
	return append(sizes, size)
}

// Next returns the waits of a pool after a round in which tasks of some sizes found no room. The receiver is nil if none did in the round before.
func (w *Waits) Next(now time.Duration, sizes []resource.Size) *Waits {
	next := &Waits{since: now, sizes: sizes}
	if w != nil {
		next.since = w.since
	}
	return next
}

// Lasts reports whether work has waited for so long that the pool counts as full.
func (w *Waits) Lasts(now time.Duration) bool {
	return now-w.since >= minFullTime
}

// Full reports whether a pool is full for tasks of a size: work that needs no more has waited for room for some time. Where only larger work waits, there is room for smaller tasks beside it.
func (w *Waits) Full(now time.Duration, size resource.Size) bool {
	return w != nil && w.Lasts(now) && slices.ContainsFunc(w.sizes, func(s resource.Size) bool { return s.Fits(size) })
}
