package sizing

import (
	"time"

	"daisyswitch/resource"
)

// Peak is the largest usage within a sliding window, stored as the peaks of the window's older and newer half.
type Peak struct {
	older, newer resource.Size
	newerSince   int64 // start of the newer half, in Unix milliseconds
}

// Add adds one measurement; half is the length of each half of the window.
func (p *Peak) Add(now time.Time, used resource.Size, half time.Duration) {
	at := now.UnixMilli()
	if at-p.newerSince >= half.Milliseconds() {
		p.older, p.newer, p.newerSince = p.newer, resource.Size{}, at
	}
	p.newer = Larger(p.newer, used)
}

// Value returns the largest usage in the window.
func (p *Peak) Value() resource.Size {
	return Larger(p.older, p.newer)
}

// Larger returns the element-wise maximum of two sizes.
func Larger(a, b resource.Size) resource.Size {
	return resource.Size{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Margin is the headroom to commit above a peak, in percent.
type Margin struct {
	CPU, Memory int64
}

// Smallest sizes to commit, so that growth of an idle task remains measurable.
const (
	minMilliCPU  = 50
	minMemoryMiB = 32
)

// Commit returns the size to commit for a peak. Accelerators stay as declared, since they are allocated whole.
func (m Margin) Commit(peak, declared resource.Size) resource.Size {
	return resource.Size{
		MilliCPU:     max(minMilliCPU, peak.MilliCPU*(100+m.CPU)/100),
		MemoryMiB:    max(minMemoryMiB, peak.MemoryMiB*(100+m.Memory)/100),
		Accelerators: declared.Accelerators,
	}
}

// WorthResizing reports whether a resize is large enough to be worth a commit: CPU or memory must change by more than an eighth.
func WorthResizing(from, to resource.Size) bool {
	return changedEnough(from.MilliCPU, to.MilliCPU) || changedEnough(from.MemoryMiB, to.MemoryMiB)
}

func changedEnough(from, to int64) bool {
	return to > from+from/8 || to < from-from/8
}
