package dispatch

import (
	"maps"
	"time"

	"daisyswitch/event"
	"daisyswitch/resource"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// round is one look at all that waits.
type round struct {
	s       *session
	number  int // of the round within the leadership, from 1 on
	t       *workflow.Tables
	nowMS   int64
	costs   costs
	numbers map[string]int // of images in costs
	pools   map[string][]*candidate
	placed  map[*workflow.Step]map[*candidate]int32
	starts  []*wire.RunStart
	racks   map[*workflow.Step]string
	fills   map[int]int // waiting filling tasks by the number of their image
	chance  map[*workflow.Job]lateness
	wanting bool                    // a workflow that can be in time has no room
	done    map[*workflow.Task]bool // placed, or room is kept for it
}

// place decides what starts where and has it committed; it returns false if the record was not.
func (s *session) place() bool {
	if !s.live() {
		return true
	}
	r := &round{s: s, nowMS: s.Wall().UnixMilli(), pools: map[string][]*candidate{}, placed: map[*workflow.Step]map[*candidate]int32{}, racks: map[*workflow.Step]string{}, fills: map[int]int{}, chance: map[*workflow.Job]lateness{}, done: map[*workflow.Task]bool{}}
	began := time.Now()
	s.Table.View(func(t *workflow.Tables) {
		r.t = t
		if len(t.Waiting) == 0 {
			s.lastingSince = nil
			return
		}
		s.placings++
		r.number = s.placings
		r.readCosts()
		r.gather()
		for _, t := range r.order() {
			r.placeStep(t.step, t.most)
			if len(r.starts) >= maxStarts {
				break
			}
		}
	})
	since(s.round, began)
	s.done.rounds++
	s.done.inRounds += time.Since(began)
	s.nextRound = time.Now().Add(max(roundGap, roundShare*time.Since(began)))
	if len(r.starts) == 0 {
		return true
	}
	began = time.Now()
	result, err := s.Commit(s.ctx, &wire.WorkflowCommand{Starts: r.starts})
	since(s.commit, began)
	s.done.inCommits += time.Since(began)
	if err != nil {
		event.RecordNotCommitted.Error(err, "starts", len(r.starts))
		return false
	}
	s.done.starts += len(r.starts)
	for i, ok := range result.Starts {
		if !ok {
			event.StartOvertaken.Info("task", workflow.NameOf(r.starts[i].GetTask()).String(), "run", r.starts[i].GetRun(), "worker", r.starts[i].GetWorker())
		}
	}
	return true
}

// readCosts works out the costs of the images of the steps that wait and of what runs.
func (r *round) readCosts() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for step := range r.t.Waiting {
		r.s.imageNumber(step.Spec.GetImage())
	}
	r.costs, r.numbers = r.s.costsNow(), maps.Clone(r.s.images)
}

// use returns how much of a worker's processors a task is expected to use, in thousandths of a core.
func use(s *wire.Step) int64 {
	if s.GetLasting() {
		return int64(servingUse * float64(s.GetSize().GetMilliCpu()))
	}
	return s.GetSize().GetMilliCpu()
}

// serves says whether a step's tasks last and have a tail latency to keep.
func serves(s *wire.Step) bool {
	return s.GetLasting() && s.GetTargetMs() > 0
}

// placeStep places as many waiting tasks of a step as have room, up to a number; a gang is placed whole or not at all.
func (r *round) placeStep(step *workflow.Step, most int) {
	if r.hopeless(step) {
		r.wanting = r.wanting || r.chance[step.Job] == inTime
		return
	}
	if step.Spec.GetGang() {
		r.placeGang(step)
		return
	}
	ch := r.chooserFor(step)
	for _, task := range step.Tasks {
		if !task.Waits() || r.done[task] {
			continue
		}
		if most--; most < 0 {
			return
		}
		c, pace := ch.choose(task)
		switch {
		case c != nil:
			r.commit(task, task.Run+1, c, pace)
			ch.placed(c)
		case step.Spec.GetLasting():
			r.done[task] = true
			if kept := r.reserve(task); kept != nil {
				ch.placed(kept)
			}
		default:
			r.wanting = r.wanting || r.chance[step.Job] == inTime
			return
		}
	}
}

// reserve keeps room for a lasting task on the worker where it will be free soonest, which it returns, since tasks that end are never more urgent.
func (r *round) reserve(task *workflow.Task) *candidate {
	var best *candidate
	most := int64(0)
	size := resource.FromWire(task.Step.Spec.GetSize())
	for _, c := range r.pools[task.Step.Job.Queue.GetPool()] {
		soon := c.free.Add(c.passing)
		if !size.Fits(soon) || !r.suits(task.Step, c) {
			continue
		}
		if best == nil || c.free.MilliCPU > most {
			best, most = c, c.free.MilliCPU
		}
	}
	if best != nil {
		best.free, best.altered = best.free.Sub(size), true
	}
	return best
}

// placeGang places all tasks of a gang under one number of run.
func (r *round) placeGang(step *workflow.Step) {
	run := int32(0)
	for _, task := range step.Tasks {
		if !task.Waits() {
			return
		}
		run = max(run, task.Run)
	}
	before := len(r.starts)
	undo := map[*candidate]candidate{}
	ch := r.chooserFor(step)
	for _, task := range step.Tasks {
		c, pace := ch.choose(task)
		if c == nil {
			for changed, was := range undo {
				*changed = was
				changed.altered, changed.known = true, false
			}
			r.starts = r.starts[:before]
			delete(r.placed, step)
			delete(r.racks, step)
			return
		}
		if _, kept := undo[c]; !kept {
			undo[c] = *c
		}
		r.commit(task, run+1, c, pace)
		ch.placed(c)
	}
}

// commit takes room on a candidate for a task that is to work at a pace.
func (r *round) commit(task *workflow.Task, run int32, c *candidate, pace int) {
	step := task.Step
	r.done[task] = true
	size := resource.FromWire(step.Spec.GetSize())
	c.unused -= use(step.Spec) * int64(pace) / 100
	if !step.Job.Started {
		r.s.wait.Update(float64(r.nowMS-step.Job.AcceptedMS) / 1000)
	}
	event.TaskPlaced.Info("task", task.Name().String(), "run", run, "worker", c.GetId(), "chance", r.chance[step.Job].String(), "accepted_ms_ago", r.nowMS-step.Job.AcceptedMS,
		"free_milli_cpu", c.free.MilliCPU, "unused_milli_cpu", c.unused, "serving", len(c.margins), "pace", pace)
	if pace < 100 {
		r.s.setFirstPace(runKey{task.Name(), run}, pace)
	}
	if step.Spec.GetLasting() {
		c.lastingImages()[step.Spec.GetImage()]++
	}
	if step.Spec.GetFilling() {
		r.know(c)
		take(c.margins, r.costs, r.image(step), c.shareOf(size.MilliCPU*int64(pace)/100))
		c.forgetShares()
		size.MilliCPU = 0
	}
	c.free, c.altered = c.free.Sub(size), true
	if r.placed[step] == nil {
		r.placed[step] = map[*candidate]int32{}
	}
	r.placed[step][c]++
	if step.Spec.GetSameRack() {
		r.racks[step] = c.GetRack()
	}
	r.starts = append(r.starts, &wire.RunStart{Task: task.Name().Wire(), Run: run, Worker: c.GetId(), Born: c.GetBorn()})
}

// stopLeaving stops lasting tasks on workers that are about to leave, so that they are at work elsewhere soon.
func (s *session) stopLeaving() {
	var keys []runKey
	s.Table.View(func(t *workflow.Tables) {
		for _, w := range t.Workers {
			if !w.GetLeaving() {
				continue
			}
			for task := range w.Tasks {
				if task.Step.Spec.GetLasting() {
					keys = append(keys, runKey{task.Name(), task.Run})
				}
			}
		}
	})
	for _, key := range keys {
		s.stopKey(key, "its worker leaves")
	}
}
