package place

import (
	"container/heap"
	"slices"
	"time"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Decide returns what should happen next; its time is bounded by the limits in Options and by what was measured since the last, however long the queues are.
func (p *Placer) Decide(now time.Time) Decisions {
	p.now = now
	p.expire()
	d := &round{Placer: p}
	d.giveUp()
	d.resize()
	d.relieve()
	d.serve()
	for _, t := range p.throttled {
		d.Throttles = append(d.Throttles, t.throttled())
	}
	d.Throttles = append(d.Throttles, p.released...)
	p.released = p.released[:0]
	return d.Decisions
}

// round is one Decide in progress.
type round struct {
	*Placer
	Decisions
	full []resource.Size // sizes that fit nowhere now
}

// decide marks a task as decided, until the state answers or the time for it is over.
func (p *Placer) decide(t *task, what decision) {
	t.decision, t.decided = what, p.now
	p.pending = append(p.pending, pending{t, p.now})
}

// expire takes back decisions that the state has not answered in time, and lets suspended workers probe.
func (p *Placer) expire() {
	n := 0
	for _, each := range p.pending {
		if p.now.Sub(each.at) < p.options.StartTimeout {
			break
		}
		n++
		if each.task.decision != undecided && each.task.decided.Equal(each.at) {
			p.takeBack(each.task)
		}
	}
	p.pending = append(p.pending[:0], p.pending[n:]...)
	kept := p.suspended[:0]
	for _, w := range p.suspended {
		p.offer(w)
		if w.blame.Suspended() && w.domain != nil {
			kept = append(kept, w)
		}
	}
	p.suspended = kept
	for _, w := range slices.Clone(p.reserved) {
		if !p.now.Before(w.until) {
			p.unreserve(w.reserved)
		}
	}
}

func (p *Placer) takeBack(t *task) {
	what := t.decision
	t.decision = undecided
	switch what {
	case decidedStart:
		p.release(t)
		p.enqueue(t)
	case decidedEnd:
		p.enqueue(t)
	case decidedResize:
		p.recommit(t, t.before)
	}
}

// serve starts tasks, one of the foremost lane at a time, until nothing more fits or the limit is reached.
func (d *round) serve() {
	var lanes laneHeap
	for _, l := range d.lanes {
		if l.first == nil {
			continue
		}
		l.distance, l.share, l.blocked = d.distance(l.class), d.dominant(l.team), 0
		lanes = append(lanes, l)
	}
	heap.Init(&lanes)
	for len(lanes) > 0 && len(d.Starts) < d.options.MaxStarts && len(d.Events) < d.options.MaxEvents {
		l := lanes[0]
		if !d.step(l) {
			heap.Pop(&lanes)
			continue
		}
		l.share = d.dominant(l.team)
		heap.Fix(&lanes, 0)
	}
}

// step handles one task or passes over one job of a lane, and reports whether the lane has more for this round.
func (d *round) step(l *lane) bool {
	j := l.cursor
	if j == nil {
		j = l.first
	}
	if j == nil {
		return false
	}
	l.cursor = j
	if d.startOne(j) {
		return l.first != nil && l.cursor != nil
	}
	l.cursor = j.next
	l.blocked++
	return l.cursor != nil && l.blocked < d.options.BlockedJobs
}

// startOne decides about the first waiting task of a job, and reports whether it left the queue.
func (d *round) startOne(j *job) bool {
	t := j.queue.first
	if d.impossible(j) {
		d.end(t, wire.TaskEventKind_TASK_EVENT_KIND_CANNOT_RUN, "no worker is large enough")
		return true
	}
	size := d.startSize(j)
	if !d.withinQuota(j.team, size) {
		return false
	}
	if w := d.holder(t, size); w != nil {
		d.start(t, w, size)
		return true
	}
	if !d.knownFull(size) {
		if w := d.choose(t, size); w != nil {
			d.start(t, w, size)
			return true
		}
	}
	if j.GetUrgent() || j.class.service() {
		d.makeRoom(t, size)
	}
	return false
}

// startSize is what a task is committed with: the declared size, or the peak of the job's earlier tasks once that is known.
func (d *round) startSize(j *job) resource.Size {
	if !d.ideas.learn || !j.warm {
		return j.size
	}
	size := marginOf(j.class).Commit(j.peak.Value(), j.size)
	for capacity := range d.shapes {
		if size.Fits(capacity) {
			return size
		}
	}
	return j.size
}

func (d *round) start(t *task, w *worker, size resource.Size) {
	d.dequeue(t)
	d.hold(t, w, size)
	d.decide(t, decidedStart)
	d.Starts = append(d.Starts, &wire.Start{
		Job: t.job.GetId(), Index: t.index, Attempt: t.attempt + 1, Worker: w.name, Size: size.Wire(),
	})
}

// end takes a waiting task out of the queue for good.
func (d *round) end(t *task, kind wire.TaskEventKind, reason string) {
	d.dequeue(t)
	d.decide(t, decidedEnd)
	d.event(t, kind, reason, nil)
}

func (d *round) event(t *task, kind wire.TaskEventKind, reason string, size *wire.Size) {
	d.Events = append(d.Events, &wire.TaskEvent{
		Task:   &wire.TaskRef{Job: t.job.GetId(), Index: t.index, Attempt: t.attempt},
		Kind:   kind,
		Reason: reason,
		Size:   size,
	})
}

// impossible reports whether no worker that is known, in a domain that is out, or lately gone could ever hold the job's tasks.
func (p *Placer) impossible(j *job) bool {
	if len(p.shapes) == 0 || p.now.Sub(p.changed) < p.options.Settle {
		return false
	}
	for capacity, s := range p.shapes {
		if s.workers == 0 && p.now.Sub(s.gone) > p.options.Return {
			continue
		}
		if j.size.Fits(capacity) {
			return false
		}
	}
	return true
}

func (p *Placer) withinQuota(t *team, size resource.Size) bool {
	return !t.limited || t.used.Add(size).Fits(t.quota)
}

func (d *round) knownFull(size resource.Size) bool {
	for _, each := range d.full {
		if each.Fits(size) {
			return true
		}
	}
	return false
}
