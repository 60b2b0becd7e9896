package dispatch

import (
	"cmp"
	"slices"
	"time"

	"daisyswitch/event"
	"daisyswitch/preempt"
	"daisyswitch/resource"
	"daisyswitch/workflow"
)

// Timing of lasting tasks that give their room to tasks that end.
const (
	contestTime   = 3 * time.Second         // a pool is contested for this long after a task that ends found no room
	maxHeldBack   = 4500 * time.Millisecond // for which a lasting task leaves the room of a contested pool alone once it is free to return
	maxAway       = 7500 * time.Millisecond // after it was last at work, a lasting task wants its room back even in a contested pool; the platform's documentation allows 9 s
	minAtWork     = 2 * time.Second         // least time at work before a lasting task gives way again
	preemptPeriod = 100 * time.Millisecond  // between choices of tasks to stop
	maxDemand     = 8                       // steps whose demand is considered at a time
)

// contest is the state of a pool in which tasks that end compete with lasting tasks for room. Only the loop's goroutine uses it.
type contest struct {
	until     time.Duration            // boot clock
	nextStops time.Duration            // boot clock
	stopping  map[*workflow.Task]int32 // runs that were chosen to be stopped and have not ended
}

// recordLack notes that a step found no room. Lasting tasks give way to it if it ends, some worker could hold one of its tasks, and it could still be in time or would never find room otherwise.
func (r *round) recordLack(step *workflow.Step) {
	couldBeInTime := r.expectedLateness[step.Job] == inTime
	r.inTimeWaits = r.inTimeWaits || couldBeInTime
	if couldBeInTime {
		r.noteWaiting(step)
	}
	if step.Spec.GetFilling() || step.Spec.GetLasting() || !r.couldEverFit(step) || !couldBeInTime && !r.isBlockedByLasting(step) {
		return
	}
	pool := step.Job.Queue.GetPool()
	r.lacking[pool] = append(r.lacking[pool], step)
}

// labelledPool is the part of a pool's workers that have a label, or all if it is empty.
type labelledPool struct{ pool, label string }

// mostRoom is an upper bound of the room on any worker of a labelledPool.
type mostRoom struct {
	whole         resource.Size // of an empty worker
	besideLasting resource.Size // once all tasks that end have ended
}

// mostRoomFor returns the room of the workers that may run a step's tasks.
func (r *round) mostRoomFor(step *workflow.Step) mostRoom {
	key := labelledPool{step.Job.Queue.GetPool(), step.Spec.GetRequires()}
	most, known := r.mostRooms[key]
	if known {
		return most
	}
	for _, c := range r.pools[key.pool] {
		if !c.suspended && hasLabel(c.GetLabels(), key.label) {
			most.whole = most.whole.Max(c.Capacity)
			most.besideLasting = most.besideLasting.Max(c.free.Add(c.withheld.now).Add(c.shortUse))
		}
	}
	if r.mostRooms == nil {
		r.mostRooms = map[labelledPool]mostRoom{}
	}
	r.mostRooms[key] = most
	return most
}

// couldEverFit reports whether a worker that may run a step's tasks could hold one if it were empty.
func (r *round) couldEverFit(step *workflow.Step) bool {
	return resource.FromWire(step.Spec.GetSize()).Fits(r.mostRoomFor(step).whole)
}

// isBlockedByLasting reports whether no worker that may run a step's tasks will have room for one once all tasks that end have ended.
func (r *round) isBlockedByLasting(step *workflow.Step) bool {
	return !resource.FromWire(step.Spec.GetSize()).Fits(r.mostRoomFor(step).besideLasting)
}

// isContested reports whether tasks that end have lately found no room in a pool.
func (s *session) isContested(pool string) bool {
	c := s.contests[pool]
	return c != nil && s.SinceBoot() < c.until
}

// recordAtWork records when a lasting task was last known to run, at the end of a run or when it is taken over from an earlier leader. The caller holds the session's mutex.
func (s *session) recordAtWork(r *run, at time.Duration) {
	if r.task.Step.Spec.GetLasting() {
		s.lastAtWork[r.task] = at
	}
}

// updateAway tracks until when each waiting lasting task that has run before leaves the room of a contested pool alone. A placement that came to nothing does not count as a return.
func (s *session) updateAway(due []*workflow.Step) {
	now, away := s.SinceBoot(), map[*workflow.Task]time.Duration{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for task := range s.lastAtWork {
		if !task.Step.Job.Open() {
			delete(s.lastAtWork, task)
		}
	}
	for _, step := range due {
		if !step.Spec.GetLasting() {
			continue
		}
		for _, task := range step.Tasks {
			if !task.Startable() || task.Run == 0 {
				continue
			}
			if _, known := s.lastAtWork[task]; !known {
				s.lastAtWork[task] = now
			}
			until, known := s.heldBackUntil[task]
			if !known {
				until = now + maxHeldBack
			}
			away[task] = min(until, s.lastAtWork[task]+maxAway)
		}
	}
	s.heldBackUntil = away
}

// heldBack reports whether a waiting lasting task leaves the room of a contested pool to tasks that end.
func (r *round) heldBack(task *workflow.Task) bool {
	until, away := r.s.heldBackUntil[task]
	return away && r.s.SinceBoot() < until && r.s.isContested(task.Step.Job.Queue.GetPool()) && isAnyRunning(task.Step)
}

func isAnyRunning(step *workflow.Step) bool {
	for _, t := range step.Tasks {
		if t.Worker != nil {
			return true
		}
	}
	return false
}

// choosePreempted returns the runs of lasting tasks to stop for the steps that found no room in this round.
func (r *round) choosePreempted() []runKey {
	var keys []runKey
	now := r.s.SinceBoot()
	for pool, steps := range r.lacking {
		c := r.s.contests[pool]
		if c == nil {
			c = &contest{stopping: map[*workflow.Task]int32{}}
			if r.s.contests == nil {
				r.s.contests = map[string]*contest{}
			}
			r.s.contests[pool] = c
		}
		c.until = now + contestTime
		if now < c.nextStops {
			continue
		}
		c.nextStops = now + preemptPeriod
		keys = append(keys, r.chooseInPool(c, pool, steps)...)
	}
	return keys
}

func (r *round) chooseInPool(c *contest, pool string, steps []*workflow.Step) []runKey {
	freed := int64(0)
	for task, run := range c.stopping {
		if task.Worker == nil || task.Run != run {
			delete(c.stopping, task)
			continue
		}
		freed += task.Step.Spec.GetSize().GetMilliCpu()
	}
	// The order among workspaces may have put work of a lower priority first, for which fewer lasting tasks give way.
	slices.SortStableFunc(steps, func(a, b *workflow.Step) int {
		return cmp.Or(cmp.Compare(r.expectedLateness[a.Job], r.expectedLateness[b.Job]), cmp.Compare(a.Job.Queue.GetPriority(), b.Job.Queue.GetPriority()))
	})
	demand := r.demandOf(steps, freed)
	if len(demand) == 0 {
		return nil
	}
	tasks := map[*preempt.Task]*workflow.Task{}
	view := r.preemptView(c, pool, steps[0].Job.Queue.GetPriority(), tasks)
	view.Away += len(c.stopping)
	var keys []runKey
	for _, chosen := range preempt.Choose(view, demand) {
		task := tasks[chosen]
		c.stopping[task] = task.Run
		keys = append(keys, runKey{task.Name(), task.Run})
	}
	if len(keys) > 0 {
		event.LastingTasksPreempted.Info("pool", pool, "tasks", len(keys), "away", view.Away, "lasting", view.Lasting, "waiting_steps", len(steps))
	}
	return keys
}

// demandOf returns the tasks of steps that found no room and fit in the quotas of their workspaces, less those with a reservation and those that the given processors, in thousandths of a core, will hold once they are free.
func (r *round) demandOf(steps []*workflow.Step, freed int64) []preempt.Demand {
	var demand []preempt.Demand
	for _, step := range steps {
		size := resource.FromWire(step.Spec.GetSize())
		count, quotaRoom, reserved := 0, r.quotaRoom(step), r.reserved[step]
		for _, task := range step.Tasks {
			if !task.Startable() || r.done[task] {
				continue
			}
			if quotaRoom--; quotaRoom < 0 {
				break
			}
			r.countUse(step, 1)
			if reserved > 0 {
				reserved--
				continue
			}
			if freed >= size.MilliCPU {
				freed -= size.MilliCPU
				continue
			}
			count++
		}
		if count > 0 {
			demand = append(demand, preempt.Demand{Size: size, Count: count, Requires: step.Spec.GetRequires(), Blocked: r.isBlockedByLasting(step)})
		}
		if len(demand) >= maxDemand {
			break
		}
	}
	return demand
}

// preemptView returns a pool with the lasting tasks that may be stopped for tasks of a queue priority.
func (r *round) preemptView(contested *contest, pool string, priority int32, tasks map[*preempt.Task]*workflow.Task) *preempt.Pool {
	now := r.s.SinceBoot()
	view := &preempt.Pool{Away: len(r.s.heldBackUntil)}
	steps := map[*workflow.Step]*preempt.Step{}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for _, c := range r.pools[pool] {
		w := &preempt.Worker{Labels: c.GetLabels(), Free: c.free}
		for task := range c.Tasks {
			spec := task.Step.Spec
			if !spec.GetLasting() {
				continue
			}
			view.Lasting++
			run := r.s.runs[runKey{task.Name(), task.Run}]
			if spec.GetGang() || run == nil || !run.isAtWork() || contested.isStopping(task) || now-run.firstListedAt < minAtWork || task.Step.Job.Queue.GetPriority() < priority {
				continue
			}
			if steps[task.Step] == nil {
				steps[task.Step] = r.s.awayOf(task.Step, contested)
			}
			t := &preempt.Task{Step: steps[task.Step], Size: resource.FromWire(spec.GetSize())}
			tasks[t] = task
			w.Tasks = append(w.Tasks, t)
		}
		if len(w.Tasks) > 0 && !c.suspended {
			view.Workers = append(view.Workers, w)
		}
	}
	view.Lasting += len(r.s.heldBackUntil)
	return view
}

// isAtWork reports whether a run has started up and is not being stopped. The caller holds the session's mutex.
func (r *run) isAtWork() bool {
	return r.phase == started && r.listed && r.percent >= 100
}

// isStopping reports whether a task's present run was chosen to be stopped; its stop may not have begun yet.
func (c *contest) isStopping(task *workflow.Task) bool {
	run, chosen := c.stopping[task]
	return chosen && run == task.Run
}

// awayOf counts the tasks of a step that are not at work or are about to be stopped. The caller holds the session's mutex.
func (s *session) awayOf(step *workflow.Step, contested *contest) *preempt.Step {
	p := &preempt.Step{Count: len(step.Tasks), MayBeAway: int(step.Spec.GetMayBeAway())}
	for _, task := range step.Tasks {
		if run := s.runs[runKey{task.Name(), task.Run}]; task.Worker == nil || run == nil || !run.isAtWork() || contested.isStopping(task) {
			p.Away++
		}
	}
	return p
}
