package place

import (
	"daisyswitch/resource"
	"daisyswitch/sizing"
	"daisyswitch/wire"
)

// Margins above the peak: a service's load grows faster than its commitment can.
var (
	serviceMargin = sizing.Margin{CPU: 30, Memory: 20}
	batchMargin   = sizing.Margin{CPU: 10, Memory: 15}
)

func marginOf(c *class) sizing.Margin {
	if c.service() {
		return serviceMargin
	}
	return batchMargin
}

// wanted returns the size that a task's peak asks for, and whether it is known for long enough to shrink to.
func (p *Placer) wanted(t *task) (resource.Size, bool) {
	size := marginOf(t.job.class).Commit(t.peak.Value(), t.job.size)
	warmup := p.options.Warmup
	if t.job.class.service() {
		warmup = p.options.PeakHalf
	}
	if p.now.Sub(t.measured) >= warmup {
		return size, true
	}
	return sizing.Larger(size, t.committed), false
}

// resize moves the commitments of measured tasks towards their peaks, as far as their workers have room.
func (d *round) resize() {
	for _, t := range d.outgrown {
		t.sized = false
		if t.worker == nil || t.worker.domain == nil || t.decision != undecided || t.state != wire.TaskState_TASK_STATE_RUNNING {
			continue
		}
		if len(d.Events) >= d.options.MaxEvents {
			continue
		}
		d.resizeOne(t)
	}
	d.outgrown = d.outgrown[:0]
}

func (d *round) resizeOne(t *task) {
	wanted, _ := d.wanted(t)
	most := t.committed.Add(sizing.Larger(t.worker.free, resource.Size{}))
	size := resource.Size{
		MilliCPU:     min(wanted.MilliCPU, most.MilliCPU),
		MemoryMiB:    min(wanted.MemoryMiB, most.MemoryMiB),
		Accelerators: t.committed.Accelerators,
	}
	if t.job.class.service() && size != wanted {
		d.evictFor(t.worker, wanted.Sub(size))
	}
	if !sizing.Worth(t.committed, size) {
		return
	}
	t.before = t.committed
	d.recommit(t, sizing.Larger(t.committed, size))
	d.decide(t, decidedResize)
	d.event(t, wire.TaskEventKind_TASK_EVENT_KIND_RESIZE, "measured usage", size.Wire())
}

// evictFor evicts batch on a worker until what is missing will be free, counting what is being evicted already.
func (d *round) evictFor(w *worker, missing resource.Size) {
	for _, t := range d.evictions(w, missing) {
		d.evict(t, "a service on its worker needs the room")
	}
}
