package place

import (
	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// markDecided records a decision on a task. It stays pending until a transition resolves it or it times out.
func (p *Placer) markDecided(t *fleet.Task, decision fleet.Decision) {
	t.Decision, t.Decided = decision, p.fleet.Now
	p.pending = append(p.pending, pending{t, p.fleet.Now})
}

// resolveDecision clears the pending decision of a task and returns the size that the task now holds. A pending growth stays pending and keeps its capacity if the transition does not include it.
func (p *Placer) resolveDecision(t *fleet.Task, next *wire.Task) resource.Size {
	committed := resource.FromWire(next.GetCommitted())
	growing := t.Decision == fleet.DecidedResize && committed == t.PreviousSize
	if growing && t.Attempt == next.GetAttempt() && fleet.Holding(next.GetState()) {
		return t.Committed
	}
	t.Decision = fleet.Undecided
	return committed
}

// expireDecisions reverts decisions that timed out, ends expired reservations, and makes suspended workers available for probes when they are due.
func (p *Placer) expireDecisions() {
	expired := 0
	for _, decision := range p.pending {
		if p.fleet.Now.Sub(decision.at) < p.options.DecideTimeout {
			break
		}
		expired++
		if decision.task.Decision != fleet.Undecided && decision.task.Decided.Equal(decision.at) {
			p.revertDecision(decision.task)
		}
	}
	p.pending = append(p.pending[:0], p.pending[expired:]...)
	kept := p.suspended[:0]
	for _, w := range p.suspended {
		p.fleet.UpdateIndex(w)
		if w.Blame.Suspended() {
			kept = append(kept, w)
		}
	}
	p.suspended = kept
	p.fleet.ExpireReservations()
}

func (p *Placer) revertDecision(t *fleet.Task) {
	decision := t.Decision
	t.Decision = fleet.Undecided
	switch decision {
	case fleet.DecidedStart:
		p.fleet.Release(t)
		p.fleet.Enqueue(t)
	case fleet.DecidedEnd:
		p.fleet.Enqueue(t)
	case fleet.DecidedResize:
		p.fleet.Recommit(t, t.PreviousSize)
	}
}

// endWaiting removes a waiting task from the queue and asks for its endWaiting.
func (p *Placer) endWaiting(t *fleet.Task, kind wire.TaskEventKind, reason string) {
	p.fleet.Dequeue(t)
	p.markDecided(t, fleet.DecidedEnd)
	p.addEvent(t, kind, reason, nil)
}

// evict checkpoints and stops a batch task.
func (p *Placer) evict(t *fleet.Task, reason string) {
	p.markDecided(t, fleet.DecidedStop)
	p.addEvent(t, wire.TaskEventKind_TASK_EVENT_KIND_STOPPING, reason, nil)
}

func (p *Placer) addEvent(t *fleet.Task, kind wire.TaskEventKind, reason string, size *wire.Size) {
	p.events = append(p.events, &wire.TaskEvent{
		Task:   &wire.TaskRef{Job: t.Job.ID, Index: t.Index, Attempt: t.Attempt},
		Kind:   kind,
		Reason: reason,
		Size:   size,
	})
}
