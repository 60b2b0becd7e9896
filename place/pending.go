package place

import (
	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// decide marks a task as decided, until a transition answers or the time for it is over.
func (p *Placer) decide(t *fleet.Task, what fleet.Decision) {
	t.Decision, t.Decided = what, p.fleet.Now
	p.pending = append(p.pending, pending{t, p.fleet.Now})
}

// answer ends what was decided about a task, and returns what it holds from now on: a growth that is still being committed goes on holding its room.
func (p *Placer) answer(t *fleet.Task, next *wire.Task) resource.Size {
	committed := resource.FromWire(next.GetCommitted())
	growing := t.Decision == fleet.DecidedResize && committed == t.Before
	if growing && t.Attempt == next.GetAttempt() && fleet.Holding(next.GetState()) {
		return t.Committed
	}
	t.Decision = fleet.Undecided
	return committed
}

// expire takes back decisions that were not answered in time, and lets suspended workers probe.
func (p *Placer) expire() {
	n := 0
	for _, each := range p.pending {
		if p.fleet.Now.Sub(each.at) < p.options.DecideTimeout {
			break
		}
		n++
		if each.task.Decision != fleet.Undecided && each.task.Decided.Equal(each.at) {
			p.takeBack(each.task)
		}
	}
	p.pending = append(p.pending[:0], p.pending[n:]...)
	kept := p.suspended[:0]
	for _, w := range p.suspended {
		p.fleet.Offer(w)
		if w.Blame.Suspended() {
			kept = append(kept, w)
		}
	}
	p.suspended = kept
	p.fleet.ExpireReservations()
}

func (p *Placer) takeBack(t *fleet.Task) {
	what := t.Decision
	t.Decision = fleet.Undecided
	switch what {
	case fleet.DecidedStart:
		p.fleet.Release(t)
		p.fleet.Enqueue(t)
	case fleet.DecidedEnd:
		p.fleet.Enqueue(t)
	case fleet.DecidedResize:
		p.fleet.Recommit(t, t.Before)
	}
}

// end takes a waiting task out of the queue for good.
func (p *Placer) end(t *fleet.Task, kind wire.TaskEventKind, reason string) {
	p.fleet.Dequeue(t)
	p.decide(t, fleet.DecidedEnd)
	p.event(t, kind, reason, nil)
}

// evict checkpoints and stops a batch task.
func (p *Placer) evict(t *fleet.Task, reason string) {
	p.decide(t, fleet.DecidedStop)
	p.event(t, wire.TaskEventKind_TASK_EVENT_KIND_STOPPING, reason, nil)
}

func (p *Placer) event(t *fleet.Task, kind wire.TaskEventKind, reason string, size *wire.Size) {
	p.events = append(p.events, &wire.TaskEvent{
		Task:   &wire.TaskRef{Job: t.Job.ID, Index: t.Index, Attempt: t.Attempt},
		Kind:   kind,
		Reason: reason,
		Size:   size,
	})
}
