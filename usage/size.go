package usage

import (
	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/sizing"
)

// Margins above the peak: a service's load grows faster than its commitment can, and memory cannot be shared while batch's commitment grows.
var (
	serviceMargin = sizing.Margin{CPU: 30, Memory: 20}
	batchMargin   = sizing.Margin{CPU: 0, Memory: 15}
)

// caution is for what was not measured yet: processors can be shared for a while, memory cannot.
var caution = sizing.Caution{CPU: 0, Memory: 1}

func marginOf(c *fleet.Class) sizing.Margin {
	if c.Service() {
		return serviceMargin
	}
	return batchMargin
}

// Wanted returns the size that a task's peak asks for; it shrinks only after the peak is known for long enough.
func (u *Reader) Wanted(t *fleet.Task) resource.Size {
	size := marginOf(t.Job.Class).Commit(t.Peak.Value(), t.Job.Size)
	warmup := u.Warmup
	if t.Job.Class.Service() {
		warmup = u.PeakHalf
	}
	if u.fleet.Now.Sub(t.Measured) < warmup {
		return sizing.Larger(size, t.Committed)
	}
	return size
}

// Expected returns the size that a job's program, declared size and earlier tasks let expect of its next task.
func (u *Reader) Expected(j *fleet.Job) resource.Size {
	size := j.Forecast.Size(j.Size, &j.Sample, caution)
	size.MemoryMiB = max(size.MemoryMiB, j.Memory)
	return size
}
