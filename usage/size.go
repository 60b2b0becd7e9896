package usage

import (
	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/sizing"
)

// Margins above the peak. A service's load can grow faster than its committed size. Memory, unlike processors, cannot be shared while a batch task's commitment grows.
var (
	serviceMargin = sizing.Margin{CPU: 30, Memory: 20}
	batchMargin   = sizing.Margin{CPU: 0, Memory: 15}
)

// caution applies to tasks that are not measured yet: processors can be shared for a while, memory cannot.
var caution = sizing.Caution{CPU: 0, Memory: 1}

func marginOf(c *fleet.Class) sizing.Margin {
	if c.Service() {
		return serviceMargin
	}
	return batchMargin
}

// Wanted returns the size to commit for a task's peak. It shrinks only after the task has been measured for long enough.
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

// Expected returns the predicted size of a job's next task, based on its program, its declared size and its earlier tasks.
func (u *Reader) Expected(j *fleet.Job) resource.Size {
	size := j.Forecast.Size(j.Size, &j.Sample, caution)
	size.MemoryMiB = max(size.MemoryMiB, j.Memory)
	return size
}
