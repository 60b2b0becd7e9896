package sizing

import (
	"time"

	"daisyswitch/resource"
)

// Peak is the largest usage within a sliding time, kept as the peaks of its older and newer half.
type Peak struct {
	older, newer resource.Size
	turned       int64 // Unix milliseconds at which the newer half began
}

// Add takes one measurement; half is the length of each half of the sliding time.
func (p *Peak) Add(now time.Time, used resource.Size, half time.Duration) {
	at := now.UnixMilli()
	if at-p.turned >= half.Milliseconds() {
		p.older, p.newer, p.turned = p.newer, resource.Size{}, at
	}
	p.newer = Larger(p.newer, used)
}

// Value returns the peak.
func (p *Peak) Value() resource.Size {
	return Larger(p.older, p.newer)
}

// Larger returns the larger amount of each resource.
func Larger(a, b resource.Size) resource.Size {
	return resource.Size{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Margin is what is committed above a peak, in percent.
type Margin struct {
	CPU, Memory int64
}

// Smallest commitment, so that an idle task can still be seen to grow.
const (
	leastMilliCPU  = 50
	leastMemoryMiB = 32
)

// Commit returns the size to commit for a peak; accelerators stay as declared, since they are held whole.
func (m Margin) Commit(peak, declared resource.Size) resource.Size {
	return resource.Size{
		MilliCPU:     max(leastMilliCPU, peak.MilliCPU*(100+m.CPU)/100),
		MemoryMiB:    max(leastMemoryMiB, peak.MemoryMiB*(100+m.Memory)/100),
		Accelerators: declared.Accelerators,
	}
}

// Worth reports whether going from one size to another is worth a commit, which a change by more than an eighth of a resource is.
func Worth(from, to resource.Size) bool {
	return worth(from.MilliCPU, to.MilliCPU) || worth(from.MemoryMiB, to.MemoryMiB)
}

func worth(from, to int64) bool {
	return to > from+from/8 || to < from-from/8
}
