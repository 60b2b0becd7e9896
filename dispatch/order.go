package dispatch

import (
	"cmp"
	"slices"
	"time"

	"daisyswitch/event"
	"daisyswitch/workflow"
)

// rank orders steps that can reach the same.
type rank int

const (
	idleLasting rank = iota // the first task of a step that lasts: each such step that has one at work serves someone
	longLasting             // further tasks of steps that last, once they have waited for lastingPatience
	passing                 // steps that end
	moreLasting             // further tasks of steps that last
)

// lastingPatience is how long further tasks of a step that lasts may wait behind tasks that end, which by themselves never leave a whole piece of room;
// the platform's pages allow 3 s in all, and tasks that end take up to 2 s to make room.
const lastingPatience = time.Second

// turn is a step's turn in a round.
type turn struct {
	step   *workflow.Step
	chance lateness
	rank   rank
	most   int // tasks
}

// turns returns when the tasks of a step, which has waited for some time, have their turns.
func turns(step *workflow.Step, chance lateness, waited time.Duration) []turn {
	all := len(step.Tasks)
	if !step.Spec.GetLasting() {
		return []turn{{step, chance, passing, all}}
	}
	further := turn{step, chance, moreLasting, all}
	if waited > lastingPatience {
		further.rank = longLasting
	}
	if slices.ContainsFunc(step.Tasks, func(t *workflow.Task) bool { return t.Worker != nil }) {
		return []turn{further}
	}
	return []turn{{step, chance, idleLasting, 1}, further}
}

// noteWaiting keeps since when each step that lasts has had waiting tasks.
func (s *session) noteWaiting(due []*workflow.Step) {
	now, since := s.Boot(), map[*workflow.Step]time.Duration{}
	for _, step := range due {
		if !step.Spec.GetLasting() {
			continue
		}
		began, waits := s.lastingSince[step]
		if !waits {
			began = now
		}
		since[step] = began
	}
	s.lastingSince = since
}

// order returns the steps that may start now, the most urgent first.
func (r *round) order() []turn {
	due := make([]*workflow.Step, 0, len(r.t.Waiting))
	for step := range r.t.Waiting {
		if step.Spec.GetFilling() {
			r.fills[r.image(step)] += step.Waiting
		}
		if step.DueMS > r.nowMS {
			continue
		}
		due = append(due, step)
		chance, known := r.chance[step.Job]
		if reached := r.s.reaches(step, r.nowMS); !known || reached < chance {
			r.chance[step.Job] = reached
		}
	}
	r.s.noteWaiting(due)
	order, now := make([]turn, 0, len(due)), r.s.Boot()
	for _, step := range due {
		order = append(order, turns(step, r.chance[step.Job], now-r.s.lastingSince[step])...)
	}
	slices.SortFunc(order, compare)
	return order
}

// compare orders turns, the most urgent first.
func compare(a, b turn) int {
	return cmp.Or(
		cmp.Compare(a.chance, b.chance),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.step.Job.Queue.GetPriority(), b.step.Job.Queue.GetPriority()),
		cmp.Compare(a.step.Job.AcceptedMS, b.step.Job.AcceptedMS),
		cmp.Compare(a.step.Job.Spec.GetId(), b.step.Job.Spec.GetId()),
		cmp.Compare(a.step.Occurrence, b.step.Occurrence),
		cmp.Compare(a.step.Number, b.step.Number),
	)
}

// lateFactor is up to how many times its objective a workflow still earns something, as the platform's pages say.
const lateFactor = 3

// lateness is what a workflow can still reach.
type lateness int

const (
	inTime  lateness = iota // it can end within its objective
	late                    // it can end while it still earns something
	useless                 // it can no longer end in any time that counts
)

// String returns the lateness for logs.
func (l lateness) String() string {
	return [...]string{"in time", "late", "useless"}[l]
}

// noteEnd logs and counts what a workflow reached.
func (s *session) noteEnd(j *workflow.Job) {
	var state, queue string
	var waited time.Duration
	tasks, largest := 0, int64(0)
	reached := inTime
	s.Table.View(func(*workflow.Tables) {
		state, queue = j.State(), j.Spec.GetQueue()
		waited = time.Duration(j.EndedMS-j.AcceptedMS) * time.Millisecond
		for _, step := range j.Steps {
			tasks += len(step.Tasks)
			largest = max(largest, step.Spec.GetSize().GetMilliCpu())
		}
		if last := j.Steps[len(j.Steps)-1]; state == workflow.StateCompleted && last.DueMS == 0 {
			reached = s.reached(last, waited, 0)
		}
	})
	s.reach(queue, state, reached).Inc()
	event.WorkflowEnded.Info("workflow", j.Spec.GetId(), "queue", queue, "state", state, "reached", reached.String(), "after_ms", waited.Milliseconds(), "tasks", tasks, "largest_milli_cpu", largest)
}

// reaches says what the workflow of a step can still reach, if what remains takes as long as its queue's tasks do.
func (s *session) reaches(step *workflow.Step, nowMS int64) lateness {
	if step.DueMS > 0 {
		return inTime
	}
	return s.reached(step, time.Duration(nowMS-step.Job.AcceptedMS)*time.Millisecond, len(step.Job.Spec.GetSteps())-int(step.Number))
}

// reached says what a workflow reaches that has taken some time and still has a number of steps to go.
func (s *session) reached(step *workflow.Step, taken time.Duration, steps int) lateness {
	p := s.meanOf(step.Job.Spec.GetQueue())
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

func (s *session) meanOf(queue string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pace[queue]; p != nil && p.count >= paceLeast {
		return p.mean
	}
	return 0
}
