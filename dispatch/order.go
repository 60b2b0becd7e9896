package dispatch

import (
	"sort"
	"time"

	"daisyswitch/workflow"
)

// order returns the steps that may start now, the most urgent first.
func (r *round) order() []*workflow.Step {
	steps := make([]*workflow.Step, 0, len(r.t.Waiting))
	for step := range r.t.Waiting {
		if step.DueMS <= r.nowMS {
			steps = append(steps, step)
		}
		if step.Spec.GetFilling() {
			r.fills[r.image(step)] += step.Waiting
		}
	}
	chance := r.chance
	for _, step := range steps {
		chance[step.Job] = r.late(step)
	}
	sort.Slice(steps, func(i, k int) bool {
		a, b := steps[i], steps[k]
		switch {
		case chance[a.Job] != chance[b.Job]:
			return chance[a.Job] < chance[b.Job]
		case a.Spec.GetLasting() != b.Spec.GetLasting():
			return a.Spec.GetLasting()
		case a.Job.Queue.GetPriority() != b.Job.Queue.GetPriority():
			return a.Job.Queue.GetPriority() < b.Job.Queue.GetPriority()
		case a.Job.AcceptedMS != b.Job.AcceptedMS:
			return a.Job.AcceptedMS < b.Job.AcceptedMS
		case a.Job.Spec.GetId() != b.Job.Spec.GetId():
			return a.Job.Spec.GetId() < b.Job.Spec.GetId()
		default:
			return a.Occurrence < b.Occurrence || a.Occurrence == b.Occurrence && a.Number < b.Number
		}
	})
	return steps
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

// late says what the workflow of a step can still reach, if what remains takes as long as its queue's tasks do.
func (r *round) late(step *workflow.Step) lateness {
	p := r.s.meanOf(step.Job.Spec.GetQueue())
	if step.Spec.GetLasting() || step.DueMS > 0 || p == 0 {
		return inTime
	}
	steps := step.Job.Spec.GetSteps()
	objective := time.Duration(step.Job.Queue.GetStretch()*float64(p)*float64(len(steps))) + time.Duration(step.Job.Queue.GetLatencyMs())*time.Millisecond
	end := time.Duration(r.nowMS-step.Job.AcceptedMS)*time.Millisecond + p*time.Duration(len(steps)-int(step.Number))
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
