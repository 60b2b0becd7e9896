package preempt

import (
	"cmp"
	"container/heap"
	"slices"

	"daisyswitch/resource"
)

// Limits of how many lasting tasks are away for tasks that end.
const (
	maxAwayShare     = 4 // at most one of this many lasting tasks of a pool is away at a time
	maxStepAwayShare = 2 // at most one of this many tasks of a step is away at a time, if the step names no limit
)

// Demand is a set of equal tasks that end and found no room.
type Demand struct {
	Size     resource.Size
	Count    int
	Requires string // label of the workers that may run the tasks, empty if all may
	Blocked  bool   // no worker will have room for a task once those that end have ended
}

// fits reports whether a task finds room on a worker that has some room.
func (d *Demand) fits(w *Worker, free resource.Size) bool {
	return d.Size.Fits(free) && (d.Requires == "" || slices.Contains(w.Labels, d.Requires))
}

// Step is a lasting step with tasks that may give way.
type Step struct {
	Count     int // tasks of the step
	Away      int // tasks that are not at work
	MayBeAway int // most tasks that may be away at a time, 0 if the caller named no limit
}

// spare returns how many more tasks of the step may be stopped.
func (s *Step) spare() int {
	limit := s.MayBeAway
	if limit <= 0 {
		limit = s.Count / maxStepAwayShare
	}
	return min(limit, s.Count-1) - s.Away
}

// Task is a lasting task at work that may be stopped.
type Task struct {
	Step *Step
	Size resource.Size
}

// Worker is a worker with lasting tasks.
type Worker struct {
	Labels []string
	Free   resource.Size
	Tasks  []*Task
}

// Pool is the state of a pool of workers.
type Pool struct {
	Workers []*Worker
	Lasting int // lasting tasks of the pool, at work or not
	Away    int // lasting tasks that have given way and are not back at work
}

// Choose returns the tasks to stop so that the demand finds room, most room gained for the demand per processor taken first.
// It changes the pool to what it is once the tasks have stopped and the demand is placed.
func Choose(p *Pool, demand []Demand) []*Task {
	chosen, demand := chooseSingly(p, demand)
	for len(demand) > 0 {
		together, left := chooseTogether(p, demand)
		if len(together) == 0 {
			break
		}
		chosen, demand = append(chosen, together...), left
	}
	return chosen
}

// chooseSingly chooses tasks of which each makes room by itself, and returns the demand that is left.
func chooseSingly(p *Pool, demand []Demand) (chosen []*Task, left []Demand) {
	options := optionsOf(p.Workers, demand)
	for len(options) > 0 && len(demand) > 0 && p.spare() > 0 {
		best := options[0]
		if gain := best.gainFor(demand); gain < best.gain {
			// The demand that it would have made room for has been placed since.
			best.gain = gain
			options.update()
			continue
		}
		if best.gain == 0 {
			break
		}
		heap.Pop(&options)
		chosen = append(chosen, best.task)
		p.stop(best.worker, best.task)
		best.worker.Free, demand = place(best.worker, demand)
	}
	return chosen, demand
}

// chooseTogether chooses tasks of one worker that only together make room for a blocked task of the demand, on the worker where these take the fewest processors. It returns none if no worker has such tasks.
func chooseTogether(p *Pool, demand []Demand) (chosen []*Task, left []Demand) {
	var worker *Worker
	least := int64(0)
	for i := range demand {
		if !demand[i].Blocked {
			continue
		}
		for _, w := range p.Workers {
			tasks, milliCPU := w.makingRoomFor(&demand[i], p.spare())
			if len(tasks) > 0 && (worker == nil || milliCPU < least) {
				worker, chosen, least = w, tasks, milliCPU
			}
		}
		if worker != nil {
			break
		}
	}
	if worker == nil {
		return nil, demand
	}
	for _, task := range chosen {
		p.stop(worker, task)
	}
	worker.Free, left = place(worker, demand)
	return chosen, left
}

// makingRoomFor returns the fewest tasks of a worker, the largest first, that together make room for a task of a demand, and their processors in thousandths of a core. It returns none if more than the given number would have to stop.
func (w *Worker) makingRoomFor(d *Demand, most int) (tasks []*Task, milliCPU int64) {
	largestFirst := slices.Clone(w.Tasks)
	slices.SortStableFunc(largestFirst, func(a, b *Task) int { return cmp.Compare(b.Size.MilliCPU, a.Size.MilliCPU) })
	free, away := w.Free, map[*Step]int{}
	for _, task := range largestFirst {
		if d.fits(w, free) {
			break
		}
		if task.Step.spare()-away[task.Step] <= 0 {
			continue
		}
		away[task.Step]++
		tasks, free, milliCPU = append(tasks, task), free.Add(task.Size), milliCPU+task.Size.MilliCPU
	}
	if len(tasks) > most || !d.fits(w, free) {
		return nil, 0
	}
	return tasks, milliCPU
}

// spare returns how many more lasting tasks of the pool may be stopped.
func (p *Pool) spare() int { return p.Lasting/maxAwayShare - p.Away }

// stop counts a task as stopped and its room as free.
func (p *Pool) stop(w *Worker, task *Task) {
	p.Away++
	task.Step.Away++
	w.remove(task)
	w.Free = w.Free.Add(task.Size)
}

// option is a task that may be stopped, with the processors that the demand gains by that per processor taken, as last computed.
type option struct {
	worker *Worker
	task   *Task
	gain   float64
}

func (o *option) gainFor(demand []Demand) float64 {
	if o.task.Step.spare() <= 0 {
		return 0
	}
	return float64(placed(o.worker, o.worker.Free.Add(o.task.Size), demand)) / float64(max(1, o.task.Size.MilliCPU))
}

// options is a heap of the options with a gain, the best first.
type options []*option

func optionsOf(workers []*Worker, demand []Demand) options {
	var all options
	for _, w := range workers {
		for _, t := range w.Tasks {
			o := &option{worker: w, task: t}
			if o.gain = o.gainFor(demand); o.gain > 0 {
				all = append(all, o)
			}
		}
	}
	heap.Init(&all)
	return all
}

// update restores the order after the gain of the first option has fallen.
func (o *options) update() { heap.Fix(o, 0) }

// Len returns the number of options.
func (o options) Len() int { return len(o) }

// Less reports whether the first option is better: more gain, then a step of which more tasks may be stopped.
func (o options) Less(i, k int) bool {
	if o[i].gain != o[k].gain {
		return o[i].gain > o[k].gain
	}
	return o[i].task.Step.spare() > o[k].task.Step.spare()
}

// Swap swaps two options.
func (o options) Swap(i, k int) { o[i], o[k] = o[k], o[i] }

// Push adds an option.
func (o *options) Push(x any) { *o = append(*o, x.(*option)) }

// Pop removes the last option.
func (o *options) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}

// placed returns the processors, in thousandths of a core, of the demand that finds room on a worker with some room.
func placed(w *Worker, free resource.Size, demand []Demand) int64 {
	total := int64(0)
	for i := range demand {
		for n := 0; n < demand[i].Count && demand[i].fits(w, free); n++ {
			free = free.Sub(demand[i].Size)
			total += demand[i].Size.MilliCPU
		}
	}
	return total
}

// place takes a worker's room for the demand that fits there, and returns what is left of both.
func place(w *Worker, demand []Demand) (free resource.Size, left []Demand) {
	free = w.Free
	for _, d := range demand {
		for d.Count > 0 && d.fits(w, free) {
			free = free.Sub(d.Size)
			d.Count--
		}
		if d.Count > 0 {
			left = append(left, d)
		}
	}
	return free, left
}

func (w *Worker) remove(task *Task) {
	for i, t := range w.Tasks {
		if t == task {
			w.Tasks = append(w.Tasks[:i], w.Tasks[i+1:]...)
			return
		}
	}
}
