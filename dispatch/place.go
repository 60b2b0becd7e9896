package dispatch

import (
	"maps"
	"time"

	"daisyswitch/event"
	"daisyswitch/lookahead"
	"daisyswitch/resource"
	"daisyswitch/share"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// round is one placement round over all waiting steps.
type round struct {
	s                *session
	number           int // counts the rounds of the leadership from 1
	t                *workflow.Tables
	nowMS            int64
	costs            costs
	imageNumbers     map[string]int // indexes of images in costs
	pools            map[string][]*candidate
	placed           map[*workflow.Step]map[*candidate]int32
	starts           []*wire.RunStart
	racks            map[*workflow.Step]string
	waitingFilling   map[int]int // waiting filling tasks by the index of their image
	expectedLateness map[*workflow.Job]lateness
	inTimeWaits      bool                        // a workflow that can still end in time found no room
	lacking          map[string][]*workflow.Step // by pool, steps that found no room and for which lasting tasks give way

	mostRooms     map[labelledPool]mostRoom
	inUse         map[string]share.Use                       // by workspace, of those of which this round has placed tasks
	inPool        map[workspaceInPool]share.Use              // the part of inUse in one pool
	atQuota       map[*workflow.Step]int                     // tasks that wait for the quota of their workspace
	waiting       map[string][]resource.Size                 // by pool, of tasks that are on time and found no room
	capacity      map[string]resource.Size                   // by pool, of the workers on which tasks may be placed
	largest       map[string]resource.Size                   // by pool, an upper bound of its workers' capacity
	views         map[string]*lookahead.Pool[*workflow.Step] // by pool
	likelyStep    *workflow.Step                             // of the last look at likelyRunTime
	likelyRunTime time.Duration
	keptOn        map[*workflow.Task]*workflow.Worker // on which room is kept for lasting tasks
	runEnds       map[*candidate][]lookahead.Release  // predicted, of the candidates examined for that
	reserved      map[*workflow.Step]int              // tasks with a reservation
	done          map[*workflow.Task]bool             // tasks that were placed, or that need no further look in this round
}

// placeWaiting runs a placement round and commits its starts. It returns false if the record was not committed.
func (s *session) placeWaiting() bool {
	if !s.mayCall() {
		return true
	}
	r := &round{s: s, nowMS: s.Wall().UnixMilli(), pools: map[string][]*candidate{}, capacity: map[string]resource.Size{}, placed: map[*workflow.Step]map[*candidate]int32{}, racks: map[*workflow.Step]string{}, waitingFilling: map[int]int{}, expectedLateness: map[*workflow.Job]lateness{}, done: map[*workflow.Task]bool{}, lacking: map[string][]*workflow.Step{}}
	began := time.Now()
	var preempted []runKey
	s.Table.View(func(t *workflow.Tables) {
		r.t = t
		if len(t.Waiting) == 0 {
			s.lastingWaitSince, s.heldBackUntil, s.keptOn = nil, nil, nil
			r.settleReservations()
			return
		}
		s.roundCount++
		r.number = s.roundCount
		r.readCosts()
		r.gatherCandidates()
		r.placeTurns(r.turnOrder())
		s.keptOn = r.keptOn
		r.settleReservations()
		preempted = r.choosePreempted()
	})
	s.publishWaits(r.waiting)
	s.waitingAtQuota = r.waitingAtQuota()
	for _, key := range preempted {
		s.stopByKey(key, "it gives its room to tasks that end")
	}
	observeSince(s.round, began)
	s.done.rounds++
	s.done.inRounds += time.Since(began)
	s.nextRound = time.Now().Add(max(minRoundGap, roundGapFactor*time.Since(began)))
	if len(r.starts) == 0 {
		return true
	}
	began = time.Now()
	begun := s.takeBegun()
	result, err := s.Commit(s.ctx, &wire.WorkflowCommand{Starts: r.starts, Begun: begun})
	observeSince(s.commitTime, began)
	s.done.inCommits += time.Since(began)
	if err != nil {
		event.RecordNotCommitted.Error(err, "starts", len(r.starts))
		s.returnBegun(begun)
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

// readCosts computes the costs between the images of all waiting steps and running tasks.
func (r *round) readCosts() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for step := range r.t.Waiting {
		r.s.imageNumber(step.Spec.GetImage())
	}
	r.costs, r.imageNumbers = r.s.currentCosts(), maps.Clone(r.s.allImageNumbers)
}

// expectedMilliCPU returns the processor use expected of a task, in thousandths of a core.
func expectedMilliCPU(s *wire.Step) int64 {
	if s.GetLasting() {
		return int64(servingUtilization * float64(s.GetSize().GetMilliCpu()))
	}
	return s.GetSize().GetMilliCpu()
}

// isServing reports whether a step's tasks are lasting and have a tail latency target.
func isServing(s *wire.Step) bool {
	return s.GetLasting() && s.GetTargetMs() > 0
}

// placeStep places as many waiting tasks of a step as have room and fit in the quota of its workspace, up to a limit. It returns true if only the limit kept further tasks from being placed. A gang is placed whole or not at all.
func (r *round) placeStep(step *workflow.Step, most int) (mayGoOn bool) {
	if r.isAtQuota(step) {
		r.noteAtQuota(step)
		r.keepQuota(step, most)
		return false
	}
	if r.knownWithoutRoom(step) {
		r.recordLack(step)
		r.keepCapacity(step)
		return false
	}
	if step.Spec.GetGang() {
		r.placeGang(step)
		return false
	}
	ch := r.newChooser(step)
	for _, task := range step.Tasks {
		if !task.Startable() || r.done[task] || r.heldBack(task) {
			continue
		}
		if r.isAtQuota(step) {
			r.noteAtQuota(step)
			r.keepQuota(step, most)
			return false
		}
		if most--; most < 0 {
			return true
		}
		c, pace := ch.choose(task)
		switch {
		case c != nil:
			r.assign(task, task.Run+1, c, pace)
			ch.placed(c)
		case step.Spec.GetLasting():
			r.done[task] = true
			if kept := r.reserve(task); kept != nil {
				ch.placed(kept)
			}
		default:
			r.recordLack(step)
			r.keepCapacity(step)
			return false
		}
	}
	return false
}

// placeGang places all tasks of a gang under one run number, or none of them.
func (r *round) placeGang(step *workflow.Step) {
	run := int32(0)
	for _, task := range step.Tasks {
		if !task.Startable() {
			return
		}
		run = max(run, task.Run)
	}
	before := len(r.starts)
	undo := map[*candidate]candidate{}
	ch := r.newChooser(step)
	for _, task := range step.Tasks {
		c, pace := ch.choose(task)
		if c == nil {
			for changed, was := range undo {
				*changed = was
				changed.roomTaken, changed.derived = true, false
			}
			r.countPlaced(step, int64(before-len(r.starts)))
			r.starts = r.starts[:before]
			delete(r.placed, step)
			delete(r.racks, step)
			r.dropShortage(step)
			return
		}
		if _, kept := undo[c]; !kept {
			undo[c] = *c
		}
		r.assign(task, run+1, c, pace)
		ch.placed(c)
	}
}

// assign places a task on a candidate at a pace and takes the room there.
func (r *round) assign(task *workflow.Task, run int32, c *candidate, pace int) {
	step := task.Step
	r.done[task] = true
	size := resource.FromWire(step.Spec.GetSize())
	c.unused -= expectedMilliCPU(step.Spec) * int64(pace) / 100
	if !step.Job.Begun {
		r.s.firstStartWait.Update(float64(r.nowMS-step.Job.AcceptedMS) / 1000)
	}
	event.TaskPlaced.Info("task", task.Name().String(), "run", run, "worker", c.GetId(), "chance", r.expectedLateness[step.Job].String(), "accepted_ms_ago", r.nowMS-step.Job.AcceptedMS,
		"free_milli_cpu", c.free.MilliCPU, "unused_milli_cpu", c.unused, "serving", len(c.margins), "pace", pace)
	if pace < 100 {
		r.s.setInitialPace(runKey{task.Name(), run}, pace)
	}
	if step.Spec.GetLasting() {
		c.lastingByImage()[step.Spec.GetImage()]++
	}
	if step.Spec.GetFilling() {
		r.derive(c)
		reduceMargins(c.margins, r.costs, r.imageNumber(step), c.cpuShareOf(size.MilliCPU*int64(pace)/100))
		c.resetAvailableShares()
		size.MilliCPU = 0
	}
	c.free, c.roomTaken = c.free.Sub(size), true
	r.countPlaced(step, 1)
	r.recordReserved(step, c)
	r.observeWait(step)
	if r.placed[step] == nil {
		r.placed[step] = map[*candidate]int32{}
	}
	r.placed[step][c]++
	if step.Spec.GetSameRack() {
		r.racks[step] = c.GetRack()
	}
	r.starts = append(r.starts, &wire.RunStart{Task: task.Name().Wire(), Run: run, Worker: c.GetId(), Born: c.GetBorn()})
}

// stopOnLeavingWorkers stops lasting tasks on workers that are about to leave, so that they restart elsewhere before then.
func (s *session) stopOnLeavingWorkers() {
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
		s.stopByKey(key, "its worker is leaving")
	}
}
