package place

import (
	"container/heap"
	"slices"
	"time"

	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Decide returns the next scheduling decisions. Its running time is bounded by the limits in Options and by the number of measurements since the last call, regardless of queue length.
func (p *Placer) Decide(now time.Time) Decisions {
	p.fleet.SetNow(now)
	p.events = nil
	p.expireDecisions()
	p.giveUpJobs()
	p.resize()
	p.pressure.Relieve()
	r := &round{Placer: p}
	r.startTasks()
	return Decisions{Starts: r.starts, Events: p.events, Throttles: p.pressure.Throttles()}
}

// round holds the state of one Decide while it starts tasks.
type round struct {
	*Placer
	starts      []*wire.Start
	unplaceable []resource.Size // sizes for which no worker has capacity in this round
	searches    int             // searches among workers so far
}

// searchCost is the effort counted for a search among workers; skipping a job without a search counts 1.
const searchCost = 64

// laneHeap is a heap of lanes with the lane to serve first on top.
type laneHeap []*fleet.Lane

func (h laneHeap) Len() int           { return len(h) }
func (h laneHeap) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h laneHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a lane, as heap.Interface requires.
func (h *laneHeap) Push(x any) { *h = append(*h, x.(*fleet.Lane)) }

// Pop removes and returns the last lane, as heap.Interface requires.
func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	*h = (*h)[:last]
	return l
}

// startTasks starts one task at a time, always from the first lane in order, until nothing more fits or a limit is reached.
func (r *round) startTasks() {
	var lanes laneHeap
	for _, l := range r.fleet.Lanes {
		if l.Empty() {
			continue
		}
		l.Distance, l.Share, l.Effort = r.fleet.Distance(l.Class), r.fleet.DominantShare(l.Team), 0
		lanes = append(lanes, l)
	}
	heap.Init(&lanes)
	for len(lanes) > 0 && len(r.starts) < r.options.MaxStarts && len(r.events) < r.options.MaxEvents {
		l := lanes[0]
		if !r.advanceLane(l) {
			heap.Pop(&lanes)
			continue
		}
		l.Share = r.fleet.DominantShare(l.Team)
		heap.Fix(&lanes, 0)
	}
}

// advanceLane handles one task of a lane or skips one of its jobs, and reports whether the lane has more to do in this round.
func (r *round) advanceLane(l *fleet.Lane) bool {
	j := l.Current()
	if j == nil {
		return false
	}
	searches := r.searches
	if r.startOne(j) {
		return !l.Done()
	}
	l.Effort += 1 + searchCost*(r.searches-searches)
	return l.SkipCurrent() && l.Effort < r.options.Effort
}

// startOne decides on the first waiting task of a job, and reports whether the task left the queue.
func (r *round) startOne(j *fleet.Job) bool {
	t := j.NextTask()
	if r.fitsNoWorker(j) {
		r.endWaiting(t, wire.TaskEventKind_TASK_EVENT_KIND_CANNOT_RUN, "no worker is large enough")
		return true
	}
	size := r.startSize(j)
	if !j.WithinQuota(size) {
		return false
	}
	if r.startReserved(t) {
		return true
	}
	if !r.knownUnplaceable(size) {
		if w := r.choose(t, size); w != nil {
			r.start(t, w, size)
			return true
		}
	}
	if j.Urgent || j.Class.Service() {
		r.reserveByEviction(t, size)
	}
	return false
}

// startReserved starts a task on the worker that holds a reservation for it. It drops the reservation if the capacity is missing and no task on the worker is still stopping.
func (r *round) startReserved(t *fleet.Task) bool {
	w := t.Reserved
	if w == nil {
		return false
	}
	if w.Domain != nil && !w.Domain.Out && w.ReservedSize().Fits(w.Free) {
		r.start(t, w, w.ReservedSize())
		return true
	}
	if !slices.ContainsFunc(w.Tasks, (*fleet.Task).Stopping) {
		r.fleet.Unreserve(t)
	}
	return false
}

// startSize returns the size to commit when a task of the job starts: its expected size, limited to what the largest suitable worker can hold.
func (p *Placer) startSize(j *fleet.Job) resource.Size {
	if !p.features.forecast {
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
	r.markDecided(t, fleet.DecidedStart)
	r.starts = append(r.starts, &wire.Start{
		Job: t.Job.ID, Index: t.Index, Attempt: t.Attempt + 1, Worker: w.Name, Size: size.Wire(),
	})
}

// fitsNoWorker reports whether the job's tasks exceed the capacity of every worker: those that are known, in a domain that is out, or gone for less than Options.Return.
func (p *Placer) fitsNoWorker(j *fleet.Job) bool {
	if len(p.fleet.Shapes) == 0 || p.fleet.Now.Sub(p.fleet.NewShapeAt) < p.options.Settle {
		return false
	}
	for capacity, s := range p.fleet.Shapes {
		if s.Workers == 0 && p.fleet.Now.Sub(s.ChangedAt) > p.options.Return {
			continue
		}
		if j.Size.Fits(capacity) {
			return false
		}
	}
	return true
}

func (r *round) knownUnplaceable(size resource.Size) bool {
	for _, known := range r.unplaceable {
		if known.Fits(size) {
			return true
		}
	}
	return false
}
