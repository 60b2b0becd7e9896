package dispatch

import (
	"cmp"
	"slices"
	"time"

	"daisyswitch/event"
	"daisyswitch/workflow"
)

// rank orders steps of equal lateness.
type rank int

const (
	firstLasting   rank = iota // first task of a lasting step: one running task already serves users
	overdueLasting             // further tasks of lasting steps that have waited longer than maxLastingWait
	nonLasting                 // steps that are not lasting
	furtherLasting             // further tasks of other lasting steps
)

// maxLastingWait is how long further tasks of a lasting step may wait behind tasks that end, which may never leave a large enough free piece on one worker by themselves.
// The platform's documentation allows 3 s in total, and ending tasks take up to 2 s to make room.
const maxLastingWait = time.Second

// turn is a position in the placement order of a round, for some or all tasks of a step.
type turn struct {
	step             *workflow.Step
	expectedLateness lateness
	rank             rank
	maxTasks         int           // most tasks to place in this turn
	awaySince        time.Duration // boot clock, of the task of an overdue lasting step that has been away longest; 0 for other steps
}

// turnsOf returns the turns of a step that has waited for some time and of which a task has been away since the given time.
func turnsOf(step *workflow.Step, expectedLateness lateness, waited, awaySince time.Duration) []turn {
	all := turn{step: step, expectedLateness: expectedLateness, maxTasks: len(step.Tasks)}
	if !step.Spec.GetLasting() {
		all.rank = nonLasting
		return []turn{all}
	}
	all.rank = furtherLasting
	if waited > maxLastingWait {
		all.rank, all.awaySince = overdueLasting, awaySince
	}
	if slices.ContainsFunc(step.Tasks, func(t *workflow.Task) bool { return t.Worker != nil }) {
		return []turn{all}
	}
	return []turn{{step: step, expectedLateness: expectedLateness, rank: firstLasting, maxTasks: 1}, all}
}

// awaySince returns since when the task of a waiting lasting step that has been away longest is away, or since when the step has waited if none has run before.
func (r *round) awaySince(step *workflow.Step) time.Duration {
	since := r.s.lastingWaitSince[step]
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for _, task := range step.Tasks {
		if at, known := r.s.lastAtWork[task]; known && task.Startable() {
			since = min(since, at)
		}
	}
	return since
}

// updateLastingWaits tracks since when each lasting step has had waiting tasks.
func (s *session) updateLastingWaits(due []*workflow.Step) {
	now, since := s.SinceBoot(), map[*workflow.Step]time.Duration{}
	for _, step := range due {
		if !step.Spec.GetLasting() {
			continue
		}
		began, waits := s.lastingWaitSince[step]
		if !waits {
			began = now
		}
		since[step] = began
	}
	s.lastingWaitSince = since
}

// turnOrder returns the turns of the steps that are due, the most urgent first.
func (r *round) turnOrder() []turn {
	due := make([]*workflow.Step, 0, len(r.t.Waiting))
	for step := range r.t.Waiting {
		if step.Spec.GetFilling() {
			r.waitingFilling[r.imageNumber(step)] += step.Waiting
		}
		if step.DueMS > r.nowMS {
			continue
		}
		due = append(due, step)
		expectedLateness, known := r.expectedLateness[step.Job]
		if reached := r.s.predictLateness(step, r.nowMS); !known || reached < expectedLateness {
			r.expectedLateness[step.Job] = reached
		}
	}
	r.s.updateLastingWaits(due)
	r.s.updateAway(due)
	turnOrder, now := make([]turn, 0, len(due)), r.s.SinceBoot()
	for _, step := range due {
		awaySince := time.Duration(0)
		if step.Spec.GetLasting() {
			awaySince = r.awaySince(step)
		}
		turnOrder = append(turnOrder, turnsOf(step, r.expectedLateness[step.Job], now-r.s.lastingWaitSince[step], awaySince)...)
	}
	slices.SortFunc(turnOrder, compareTurns)
	return turnOrder
}

// compareTurns orders turns, the most urgent first.
func compareTurns(a, b turn) int {
	return cmp.Or(
		cmp.Compare(a.expectedLateness, b.expectedLateness),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.step.Job.Queue.GetPriority(), b.step.Job.Queue.GetPriority()),
		cmp.Compare(a.awaySince, b.awaySince),
		cmp.Compare(a.step.Job.AcceptedMS, b.step.Job.AcceptedMS),
		cmp.Compare(a.step.Job.Spec.GetId(), b.step.Job.Spec.GetId()),
		cmp.Compare(a.step.Occurrence, b.step.Occurrence),
		cmp.Compare(a.step.Number, b.step.Number),
	)
}

// lateFactor is the multiple of its objective up to which a late workflow still has some value, by the platform's documentation.
const lateFactor = 3

// lateness says when a workflow can still end, relative to its objective.
type lateness int

const (
	inTime  lateness = iota // it can end within its objective
	late                    // it can end within lateFactor times its objective, with some value left
	useless                 // it can only end later, without value
)

// String returns the lateness as written in logs and metrics.
func (l lateness) String() string {
	return [...]string{"in time", "late", "useless"}[l]
}

// recordWorkflowEnd logs and counts an ended workflow with its lateness.
func (s *session) recordWorkflowEnd(j *workflow.Job) {
	var state, name string
	var place workflow.Place
	var waited time.Duration
	tasks, largest := 0, int64(0)
	reachedLateness := inTime
	s.Table.View(func(*workflow.Tables) {
		state, name, place = j.State(), j.Queue.GetName(), j.Place()
		waited = time.Duration(j.EndedMS-j.AcceptedMS) * time.Millisecond
		for _, step := range j.Steps {
			tasks += len(step.Tasks)
			largest = max(largest, step.Spec.GetSize().GetMilliCpu())
		}
		if last := j.Steps[len(j.Steps)-1]; state == workflow.StateCompleted && last.DueMS == 0 {
			reachedLateness = s.reachedLateness(last, waited, 0)
		}
	})
	s.mu.Lock()
	s.dropExclusions(j)
	s.mu.Unlock()
	s.workflowsEnded(name, place, state, reachedLateness).Inc()
	event.WorkflowEnded.Info("workflow", j.Spec.GetId(), "queue", name, "place", place.String(), "state", state, "reached", reachedLateness.String(), "after_ms", waited.Milliseconds(), "tasks", tasks, "largest_milli_cpu", largest)
}

// predictLateness predicts the lateness of a step's workflow, assuming that each remaining step takes the mean run time of its queue's tasks.
func (s *session) predictLateness(step *workflow.Step, nowMS int64) lateness {
	if step.DueMS > 0 {
		return inTime
	}
	return s.reachedLateness(step, time.Duration(nowMS-step.Job.AcceptedMS)*time.Millisecond, len(step.Job.Spec.GetSteps())-int(step.Number))
}

// reachedLateness returns the lateness of a workflow that has taken some time so far and has a number of steps left.
func (s *session) reachedLateness(step *workflow.Step, taken time.Duration, steps int) lateness {
	p := s.meanDuration(step.Job.Place())
	if step.Spec.GetLasting() || p == 0 {
		return inTime
	}
	objective := time.Duration(step.Job.Queue.GetStretch()*float64(p)*float64(len(step.Job.Spec.GetSteps()))) + time.Duration(step.Job.Queue.GetLatencyMs())*time.Millisecond
	end := taken + p*time.Duration(steps)
	switch {
	case end <= objective:
		return inTime
	case end <= lateFactor*objective:
		return late
	default:
		return useless
	}
}

func (s *session) meanDuration(queue workflow.Place) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usualDuration(queue)
}
