package dispatch

import (
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// Judging of workers; a failure is held against a worker only if several workflows fail there in a row.
const (
	suspectAfter = 2                // workflows that failed in a row on one worker; faults of tasks are a few in a hundred
	suspendFirst = 4 * time.Second  // about as long as a worker's faults last
	suspendMost  = 16 * time.Second // a worker that fails at each probe
	stillTime    = 2 * time.Second  // without any progress, of tasks that take some seconds in all
)

// health is what a leadership holds against a worker.
type health struct {
	failed    map[string]struct{} // workflows that failed there since the last success
	suspended time.Duration       // boot clock until which it gets nothing new
	last      time.Duration       // length of the last suspension
}

// judge notes the end of a run.
func (l *link) judge(e *call.Ended) {
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &l.health
	switch e.Outcome {
	case wire.RunOutcome_RUN_OUTCOME_DONE:
		h.failed, h.last = nil, 0
		s.learn(l.runs[runKey{e.Task, e.Run}])
	case wire.RunOutcome_RUN_OUTCOME_FAILED:
		s.avoid(e.Task, l.id)
		if h.failed == nil {
			h.failed = map[string]struct{}{}
		}
		h.failed[e.Task.Workflow] = struct{}{}
		if len(h.failed) >= suspectAfter || h.last > 0 {
			l.suspend("it failed tasks of several workflows in a row")
		}
	}
}

// avoid keeps a task off a worker; the session's mutex is held.
func (s *session) avoid(name workflow.Name, worker string) {
	if s.failedOn[name] == nil {
		s.failedOn[name] = map[string]struct{}{}
	}
	s.failedOn[name][worker] = struct{}{}
}

// suspend keeps new tasks off the worker for a while, longer each time; the session's mutex is held.
func (l *link) suspend(reason string) {
	h := &l.health
	h.last = min(max(suspendFirst, 2*h.last), suspendMost)
	h.suspended = l.s.Boot() + h.last
	event.CalledSuspended.Info("worker", l.id, "reason", reason, "workflows", len(h.failed), "for_ms", h.last.Milliseconds())
}

// pace is how long the work of a queue's tasks takes.
type pace struct {
	mean  time.Duration
	count int
}

// How many tasks the mean of a queue remembers, and how many it needs: the first to end are the shortest.
const (
	paceWeight = 64
	paceLeast  = 24
)

// learn notes how long a task took; the session's mutex is held.
func (s *session) learn(r *run) {
	if r == nil || !r.listed || r.order.Checkpoint != "" {
		return
	}
	queue := r.task.Step.Job.Spec.GetQueue()
	p := s.pace[queue]
	if p == nil {
		p = &pace{}
		s.pace[queue] = p
	}
	p.count = min(p.count+1, paceWeight)
	p.mean += (s.Boot() - r.beganAt - p.mean) / time.Duration(p.count)
}

// Moving of filling tasks that are slowed.
const (
	movedBelow    = 30          // percent of its speed
	movedAfter    = time.Second // as long as a reading takes to follow an order on pace
	movedProgress = 25          // percent of its work that a task without checkpoints may lose
)

// moveSlowed stops filling tasks that serving ones have slowed, so that they go on elsewhere from their checkpoints.
func (s *session) moveSlowed() {
	now := s.Boot()
	var slowed []runKey
	s.mu.Lock()
	for key, r := range s.runs {
		spec := r.task.Step.Spec
		if r.phase != started || r.pace >= movedBelow || spec.GetGang() || now-r.pacedAt < movedAfter {
			continue
		}
		if spec.GetCheckpointing() || r.percent < movedProgress {
			slowed = append(slowed, key)
			s.avoid(key.name, r.worker.GetId())
		}
	}
	s.mu.Unlock()
	for _, key := range slowed {
		s.stopKey(key, "it is slowed and goes on elsewhere")
	}
}

// isStill says whether the worker has listed a run long enough without progress, for the pace that it was told.
func (r *run) isStill() bool {
	return r.listed && r.pace > 0 && (r.listedAt-r.percentAt)*time.Duration(r.pace)/100 >= stillTime
}

// stopStill stops tasks that make no progress, so that they go on elsewhere.
func (s *session) stopStill() {
	var still []runKey
	s.mu.Lock()
	for key, r := range s.runs {
		if r.phase != started || r.task.Step.Spec.GetGang() || r.percent >= 100 || !r.isStill() {
			continue
		}
		still = append(still, key)
		s.avoid(key.name, r.worker.GetId())
		h := &r.link.health
		if h.failed == nil {
			h.failed = map[string]struct{}{}
		}
		h.failed[key.name.Workflow] = struct{}{}
		if len(h.failed) >= suspectAfter {
			r.link.suspend("its tasks stand still")
		}
	}
	s.mu.Unlock()
	for _, key := range still {
		s.stopKey(key, "it makes no progress")
	}
}
