package place

import (
	"container/heap"
	"time"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Decide returns what should happen next; its time is bounded by the limits in Options, however long the queues are.
func (p *Placer) Decide(now time.Time) Decisions {
	p.now = now
	p.expire()
	d := &round{Placer: p}
	d.serve()
	return d.Decisions
}

// round is one Decide in progress.
type round struct {
	*Placer
	Decisions
	full []resource.Size // sizes that fit nowhere now
}

// expire takes back proposals that the state has not answered in time.
func (p *Placer) expire() {
	kept := p.proposed[:0]
	for _, t := range p.proposed {
		if t.decided.IsZero() {
			continue
		}
		if p.now.Sub(t.decided) < p.options.StartTimeout {
			kept = append(kept, t)
			continue
		}
		t.decided = time.Time{}
		p.release(t)
		p.enqueue(t)
	}
	clear(p.proposed[len(kept):])
	p.proposed = kept
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
		d.dequeue(t)
		t.decided = d.now
		d.proposed = append(d.proposed, t)
		d.event(t, wire.TaskEventKind_TASK_EVENT_KIND_CANNOT_RUN, "no worker is large enough", resource.Size{})
		return true
	}
	if !d.withinQuota(j.team, j.size) || d.knownFull(j.size) {
		return false
	}
	w := d.choose(j, j.size)
	if w == nil {
		return false
	}
	d.start(t, w, j.size)
	return true
}

func (d *round) start(t *task, w *worker, size resource.Size) {
	d.dequeue(t)
	d.hold(t, w, size)
	t.decided = d.now
	d.proposed = append(d.proposed, t)
	d.Starts = append(d.Starts, &wire.Start{
		Job: t.job.GetId(), Index: t.index, Attempt: t.attempt + 1, Worker: w.name, Size: size.Wire(),
	})
}

func (d *round) event(t *task, kind wire.TaskEventKind, reason string, size resource.Size) {
	e := &wire.TaskEvent{
		Task:   &wire.TaskRef{Job: t.job.GetId(), Index: t.index, Attempt: t.attempt},
		Kind:   kind,
		Reason: reason,
	}
	if kind == wire.TaskEventKind_TASK_EVENT_KIND_RESIZE {
		e.Size = size.Wire()
	}
	d.Events = append(d.Events, e)
}

// impossible reports whether no worker that is known, out, or lately gone could ever hold the job's tasks.
func (p *Placer) impossible(j *job) bool {
	if len(p.shapes) == 0 || p.now.Sub(p.changed) < p.options.Settle {
		return false
	}
	for capacity := range p.shapes {
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

// choose returns the best of some workers with room for one task of a job, or nil.
func (d *round) choose(j *job, size resource.Size) *worker {
	var best *worker
	bestScore, found := 0.0, false
	for _, each := range d.allowed(j) {
		d.candidates(each, size, func(w *worker) {
			found = true
			score := d.score(j, w, size)
			if best == nil || score > bestScore {
				best, bestScore = w, score
			}
		})
	}
	if !found && j.GetMinDomains() <= 1 {
		d.full = append(d.full, size)
	}
	return best
}

// candidates calls f for some workers of a domain that have room, beginning anywhere.
func (d *round) candidates(each *domain, size resource.Size, f func(*worker)) {
	length := each.rooms.Len()
	if length == 0 {
		return
	}
	begin := d.random.IntN(length)
	at, wrapped := begin, false
	for n := 0; n < d.options.Candidates; n++ {
		slot := each.rooms.Next(size, at)
		if slot < 0 && !wrapped {
			wrapped = true
			slot = each.rooms.Next(size, 0)
		}
		if slot < 0 || wrapped && slot >= begin {
			return
		}
		f(each.workers[slot])
		at = slot + 1
	}
}

// allowed returns the domains that a job's next task may start in.
func (d *round) allowed(j *job) []*domain {
	counts := j.domains()
	needed := int(j.GetMinDomains()) - len(counts)
	fresh := needed > 0 && j.queue.length <= needed
	var list []*domain
	for _, each := range d.domains {
		if each.out || fresh && counts[each] > 0 {
			continue
		}
		list = append(list, each)
	}
	sortDomains(list)
	return list
}

// domains counts a job's committed tasks by failure domain.
func (j *job) domains() map[*domain]int {
	if j.GetMinDomains() <= 1 && !j.class.service() {
		return nil
	}
	counts := make(map[*domain]int)
	for _, t := range j.tasks {
		if t.worker != nil && t.worker != nowhere {
			counts[t.worker.domain]++
		}
	}
	return counts
}

// score says how well a worker suits a task; higher is better.
func (d *round) score(j *job, w *worker, size resource.Size) float64 {
	if j.class.service() {
		return d.spreadScore(j, w)
	}
	left := w.free.Sub(size)
	return -float64(left.MilliCPU) / float64(max(1, w.capacity.MilliCPU))
}

// spreadScore prefers the domain, then the rack, then the worker with fewest replicas of the job, then the emptier one.
func (d *round) spreadScore(j *job, w *worker) float64 {
	score := float64(w.free.MilliCPU) / float64(max(1, w.capacity.MilliCPU))
	for _, t := range j.tasks {
		if t.worker == nil || t.worker == nowhere || t.worker.domain != w.domain {
			continue
		}
		score -= domainWeight
		if t.worker.rack == w.rack {
			score -= rackWeight
		}
		if t.worker == w {
			score -= workerWeight
		}
	}
	return score
}

// Weights of spreadScore: each outweighs the sum of those below it.
const (
	domainWeight = 1e6
	rackWeight   = 1e4
	workerWeight = 1e2
)
