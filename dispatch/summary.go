package dispatch

import (
	"time"

	"daisyswitch/event"
	"daisyswitch/workflow"
)

// summaryEvery is how often the leader logs how full its workers are.
const summaryEvery = 2 * time.Second

// summarize logs how full the workers are and what waits.
func (s *session) summarize() {
	now := s.Boot()
	if now < s.summaryAt {
		return
	}
	s.summaryAt = now + summaryEvery
	var capacity, used, fill, serving int64
	workers, usable, running := 0, 0, 0
	waiting := map[string]int{}
	s.Table.View(func(t *workflow.Tables) {
		for id, w := range t.Workers {
			workers++
			if l := s.linkOf(id); l != nil && l.usable(now) {
				usable++
			}
			capacity += w.Capacity.MilliCPU
			used += w.Used.MilliCPU
			fill += w.Fill.MilliCPU
			running += len(w.Tasks)
			for task := range w.Tasks {
				if serves(task.Step.Spec) {
					serving++
				}
			}
		}
		for step := range t.Waiting {
			waiting[step.Job.Spec.GetQueue()] += step.Waiting
		}
	})
	slowed, filling := s.filling()
	event.LoadSummary.Info("workers", workers, "usable", usable, "cores", capacity/1000, "used_cores", used/1000, "filling_cores", fill/1000, "filling_used_cores", int64(filling), "slowed", slowed, "running", running, "serving", serving, "waiting", waiting)
}

func (s *session) linkOf(id string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[id]
}

// filling returns how many filling tasks are slowed, and how many cores all of them used lately.
func (s *session) filling() (slowed int, cores float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if !r.task.Step.Spec.GetFilling() {
			continue
		}
		cores += r.share * float64(r.link.processors) / 1000
		if r.pace < 100 {
			slowed++
		}
	}
	return slowed, cores
}
