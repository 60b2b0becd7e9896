package place

import (
	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/sizing"
	"daisyswitch/wire"
)

// resize moves the committed sizes of measured tasks towards their peaks, as far as their workers have free capacity.
func (p *Placer) resize() {
	for _, t := range p.usage.ResizeCandidates {
		t.ResizeQueued = false
		running := t.State == wire.TaskState_TASK_STATE_RUNNING && t.Decision == fleet.Undecided
		if p.features.resize && running && t.Worker.Domain != nil && len(p.events) < p.options.MaxEvents {
			p.resizeOne(t)
		}
	}
	p.usage.ResizeCandidates = p.usage.ResizeCandidates[:0]
}

func (p *Placer) resizeOne(t *fleet.Task) {
	wanted := p.usage.Wanted(t)
	open := t.Worker.UnreservedFree()
	if t.Job.Class.Service() {
		open = t.Worker.Free
	}
	most := t.Committed.Add(sizing.Larger(open, resource.Size{}))
	size := resource.Size{
		MilliCPU:     min(wanted.MilliCPU, most.MilliCPU),
		MemoryMiB:    min(wanted.MemoryMiB, most.MemoryMiB),
		Accelerators: t.Committed.Accelerators,
	}
	if t.Job.Class.Service() && size != wanted {
		for _, victim := range p.evictionsFor(t.Worker, wanted.Sub(size)) {
			p.evict(victim, "a service on its worker needs the room")
		}
	}
	if !sizing.WorthResizing(t.Committed, size) {
		return
	}
	t.PreviousSize = t.Committed
	p.fleet.Recommit(t, sizing.Larger(t.Committed, size))
	p.markDecided(t, fleet.DecidedResize)
	p.addEvent(t, wire.TaskEventKind_TASK_EVENT_KIND_RESIZE, "measured usage", size.Wire())
}
