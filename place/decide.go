package place

import (
	"container/heap"
	"slices"
	"time"

	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Decide returns what should happen next; its time is bounded by the limits in Options and by what was measured since the last, however long the queues are.
func (p *Placer) Decide(now time.Time) Decisions {
	p.fleet.SetNow(now)
	p.events = nil
	p.expire()
	p.giveUp()
	p.resize()
	p.pressure.Relieve()
	r := &round{Placer: p}
	r.serve()
	return Decisions{Starts: r.starts, Events: p.events, Throttles: p.pressure.Throttles()}
}

// round is the starting of tasks in one Decide.
type round struct {
	*Placer
	starts   []*wire.Start
	full     []resource.Size // sizes that fit nowhere now
	searches int             // among workers
}

// searchEffort is what a search among workers costs, with 1 for a job that is passed over without one.
const searchEffort = 64

// laneHeap orders lanes by who is served first.
type laneHeap []*fleet.Lane

func (h laneHeap) Len() int           { return len(h) }
func (h laneHeap) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h laneHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a lane.
func (h *laneHeap) Push(x any) { *h = append(*h, x.(*fleet.Lane)) }

// Pop takes the last lane off.
func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	*h = (*h)[:last]
	return l
}

// serve starts tasks, one of the foremost lane at a time, until nothing more fits or the limit is reached.
func (r *round) serve() {
	var lanes laneHeap
	for _, l := range r.fleet.Lanes {
		if l.Empty() {
			continue
		}
		l.Distance, l.Share, l.Effort = r.fleet.Distance(l.Class), r.fleet.Dominant(l.Team), 0
		lanes = append(lanes, l)
	}
	heap.Init(&lanes)
	for len(lanes) > 0 && len(r.starts) < r.options.MaxStarts && len(r.events) < r.options.MaxEvents {
		l := lanes[0]
		if !r.step(l) {
			heap.Pop(&lanes)
			continue
		}
		l.Share = r.fleet.Dominant(l.Team)
		heap.Fix(&lanes, 0)
	}
}

// step handles one task or passes over one job of a lane, and reports whether the lane has more for this round.
func (r *round) step(l *fleet.Lane) bool {
	j := l.Current()
	if j == nil {
		return false
	}
	searches := r.searches
	if r.startOne(j) {
		return !l.Done()
	}
	l.Effort += 1 + searchEffort*(r.searches-searches)
	return l.Pass() && l.Effort < r.options.Effort
}

// startOne decides about the first waiting task of a job, and reports whether it left the queue.
func (r *round) startOne(j *fleet.Job) bool {
	t := j.NextTask()
	if r.impossible(j) {
		r.end(t, wire.TaskEventKind_TASK_EVENT_KIND_CANNOT_RUN, "no worker is large enough")
		return true
	}
	size := r.startSize(j)
	if !j.WithinQuota(size) {
		return false
	}
	if r.startReserved(t) {
		return true
	}
	if !r.knownFull(size) {
		if w := r.choose(t, size); w != nil {
			r.start(t, w, size)
			return true
		}
	}
	if j.Urgent || j.Class.Service() {
		r.makeRoom(t, size)
	}
	return false
}

// startReserved starts a task on the worker where room was made for it, and gives a room up that will not come to be.
func (r *round) startReserved(t *fleet.Task) bool {
	w := t.Reserved
	if w == nil {
		return false
	}
	if w.Domain != nil && !w.Domain.Out && w.Kept().Fits(w.Free) {
		r.start(t, w, w.Kept())
		return true
	}
	if !slices.ContainsFunc(w.Tasks, (*fleet.Task).Stopping) {
		r.fleet.Unreserve(t)
	}
	return false
}

// startSize is what a task is committed with: what is expected of it, as far as any worker can hold it.
func (p *Placer) startSize(j *fleet.Job) resource.Size {
	if !p.ideas.forecast {
		return j.Size
	}
	size := p.usage.Expected(j)
	largest := resource.Size{}
	for capacity := range p.fleet.Shapes {
		if size.Fits(capacity) {
			return size
		}
		if j.Size.Fits(capacity) && capacity.MemoryMiB > largest.MemoryMiB {
			largest = capacity
		}
	}
	return resource.Size{
		MilliCPU:     min(size.MilliCPU, largest.MilliCPU),
		MemoryMiB:    min(size.MemoryMiB, largest.MemoryMiB),
		Accelerators: size.Accelerators,
	}
}

func (r *round) start(t *fleet.Task, w *fleet.Worker, size resource.Size) {
	r.fleet.Unreserve(t)
	r.fleet.Dequeue(t)
	r.fleet.Hold(t, w, size)
	r.decide(t, fleet.DecidedStart)
	r.starts = append(r.starts, &wire.Start{
		Job: t.Job.ID, Index: t.Index, Attempt: t.Attempt + 1, Worker: w.Name, Size: size.Wire(),
	})
}

// impossible reports whether no worker that is known, in a domain that is out, or lately gone could ever hold the job's tasks.
func (p *Placer) impossible(j *fleet.Job) bool {
	if len(p.fleet.Shapes) == 0 || p.fleet.Now.Sub(p.fleet.Changed) < p.options.Settle {
		return false
	}
	for capacity, s := range p.fleet.Shapes {
		if s.Workers == 0 && p.fleet.Now.Sub(s.Gone) > p.options.Return {
			continue
		}
		if j.Size.Fits(capacity) {
			return false
		}
	}
	return true
}

func (r *round) knownFull(size resource.Size) bool {
	for _, each := range r.full {
		if each.Fits(size) {
			return true
		}
	}
	return false
}
