package place

import (
	"cmp"
	"math"
	"slices"

	"daisyswitch/wire"
)

// Bounds on a service's tail latency, as logarithms of its ratio to the target.
var (
	hot  = math.Log(0.95) // above it batch beside the service is slowed
	goal = math.Log(0.88) // what a step of relief aims at
	cool = math.Log(0.85) // below it batch gets back what was taken
)

// throttleSteps are the shares of processors taken away, in percent, one after the other.
var throttleSteps = []int32{50, 80}

func (t *task) throttled() Throttle {
	return Throttle{Job: t.job.GetId(), Index: t.index, Attempt: t.attempt, Percent: t.throttle}
}

// relieve looks at the workers measured since the last Decide whose services are near their target, or whose batch is throttled.
func (d *round) relieve() {
	for _, w := range d.pressed {
		w.pressed = false
		if w.domain != nil && len(d.Events) < d.options.MaxEvents {
			d.relieveOne(w)
		}
	}
	d.pressed = d.pressed[:0]
}

func (d *round) relieveOne(w *worker) {
	since := d.now.Sub(w.stepped)
	if d.ideas.hysteresis && since < d.options.Lag {
		return
	}
	if float64(w.memory) > memoryLimit*float64(w.capacity.MemoryMiB) {
		d.relieveMemory(w)
		return
	}
	worst := worstService(w)
	switch {
	case worst == nil:
		d.giveBack(w, nil, math.Inf(1))
	case worst.ratio > hot:
		d.press(w, worst)
	case worst.ratio < cool && (!d.ideas.hysteresis || since >= 2*d.options.Lag):
		d.giveBack(w, worst, goal-worst.ratio)
	}
}

func worstService(w *worker) *task {
	var worst *task
	for _, t := range w.tasks {
		if t.job.class.service() && t.job.class.GetTargetP99Us() > 0 && (worst == nil || t.ratio > worst.ratio) {
			worst = t
		}
	}
	return worst
}

// press takes one step: it throttles as much batch as is foreseen to suffice, and evicts one task when all is throttled and the target still missed.
func (d *round) press(w *worker, service *task) {
	victims := d.victims(w, service)
	excess := service.ratio - goal
	stepped := false
	for _, t := range victims {
		if excess <= 0 || !d.ideas.throttle {
			break
		}
		next := nextThrottle(t.throttle)
		if next == t.throttle {
			continue
		}
		taken := float64(next-t.throttle) / float64(100-t.throttle)
		excess -= taken * d.effect(service, t)
		d.setThrottle(t, next)
		stepped = true
	}
	if !stepped && service.ratio > 0 && len(victims) > 0 {
		d.evict(victims[0], "a service on its worker misses its target")
		stepped = true
	}
	if stepped {
		w.stepped = d.now
	}
}

// victims returns the batch on a worker that may be slowed, that which hurts the service most first and urgent work last.
func (d *round) victims(w *worker, service *task) []*task {
	var list []*task
	for _, t := range w.tasks {
		if t.evictable() {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, b *task) int {
		if a.job.GetUrgent() != b.job.GetUrgent() {
			if a.job.GetUrgent() {
				return 1
			}
			return -1
		}
		return cmp.Compare(d.effect(service, b), d.effect(service, a))
	})
	return list
}

func (t *task) evictable() bool {
	return !t.job.class.service() && t.decision == undecided &&
		(t.state == wire.TaskState_TASK_STATE_RUNNING || t.state == wire.TaskState_TASK_STATE_STARTING)
}

// effect is how much a task is believed to add to the logarithm of a service's tail latency now.
func (d *round) effect(service, t *task) float64 {
	return d.table.Cost(service.job.program, t.job.program).Mean * d.usedShare(t)
}

func nextThrottle(now int32) int32 {
	for _, step := range throttleSteps {
		if step > now {
			return step
		}
	}
	return now
}

func lastThrottle(now int32) int32 {
	last := int32(0)
	for _, step := range throttleSteps {
		if step < now {
			last = step
		}
	}
	return last
}

// giveBack lessens throttling, of that which hurts least first, as far as is foreseen to stay within budget.
func (d *round) giveBack(w *worker, service *task, budget float64) {
	var list []*task
	for _, t := range w.tasks {
		if t.throttle > 0 {
			list = append(list, t)
		}
	}
	if service != nil {
		slices.SortStableFunc(list, func(a, b *task) int { return cmp.Compare(d.effect(service, a), d.effect(service, b)) })
	}
	for _, t := range list {
		last := lastThrottle(t.throttle)
		if service != nil {
			budget -= float64(t.throttle-last) / float64(100-t.throttle) * d.effect(service, t)
		}
		if budget < 0 {
			return
		}
		d.setThrottle(t, last)
		w.stepped = d.now
	}
}

// relieveMemory evicts the batch task that is farthest beyond what is committed to it, before the worker's kernel picks one.
func (d *round) relieveMemory(w *worker) {
	var worst *task
	for _, t := range w.tasks {
		if t.evictable() && (worst == nil || t.used.MemoryMiB-t.committed.MemoryMiB > worst.used.MemoryMiB-worst.committed.MemoryMiB) {
			worst = t
		}
	}
	if worst != nil {
		d.evict(worst, "its worker's memory runs out")
		w.stepped = d.now
	}
}

// evict checkpoints and stops a batch task.
func (d *round) evict(t *task, reason string) {
	d.decide(t, decidedStop)
	d.event(t, wire.TaskEventKind_TASK_EVENT_KIND_STOPPING, reason, nil)
}

func (p *Placer) setThrottle(t *task, percent int32) {
	if percent == 0 {
		p.unthrottle(t)
		return
	}
	if t.throttle == 0 {
		p.throttled = append(p.throttled, t)
	}
	t.throttle = percent
}

func (p *Placer) unthrottle(t *task) {
	t.throttle = 0
	p.released = append(p.released, t.throttled())
	if i := slices.Index(p.throttled, t); i >= 0 {
		p.throttled = slices.Delete(p.throttled, i, i+1)
	}
}
