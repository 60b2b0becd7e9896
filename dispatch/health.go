package dispatch

import (
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// Suspension of workers. A worker is suspended only if several workflows fail there in a row, without a success between.
const (
	suspendThreshold = 2                // workflows that failed in a row on one worker; a few percent of tasks fail by their own fault
	minSuspension    = 4 * time.Second  // about as long as a worker's faults last
	maxSuspension    = 16 * time.Second // reached by a worker that fails again after each suspension
	stallTimeout     = 2 * time.Second  // without progress, for tasks that take some seconds in total
	stallPercents    = 3                // of a task's work; workers list whole percents
	maxStallDoubling = 6                // of stallTimeout, for tasks that stalled wherever they ran
)

// health is the failure history of a worker in this leadership.
type health struct {
	failedWorkflows map[string]struct{} // workflows that failed there since the last success
	suspended       time.Duration       // boot clock until which it gets no new tasks
	lastSuspension  time.Duration       // length of the last suspension
}

// recordOutcome updates the worker's health and the task statistics from the end of a run.
func (l *link) recordOutcome(e *call.Ended) {
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &l.health
	switch e.Outcome {
	case wire.RunOutcome_RUN_OUTCOME_DONE:
		h.failedWorkflows, h.lastSuspension = nil, 0
		s.recordDuration(l.runs[runKey{e.Task, e.Run}])
	case wire.RunOutcome_RUN_OUTCOME_FAILED:
		s.exclude(e.Task, l.id)
		if h.failedWorkflows == nil {
			h.failedWorkflows = map[string]struct{}{}
		}
		h.failedWorkflows[e.Task.Workflow] = struct{}{}
		if len(h.failedWorkflows) >= suspendThreshold || h.lastSuspension > 0 {
			l.suspend("it failed tasks of several workflows in a row")
		}
	}
}

// Length of an exclusion, which doubles each time. Exclusions end, since the worker may be the only one that may run the task.
const (
	minExclusion = 4 * time.Second // about as long as a worker's faults last
	maxExclusion = 6 * time.Second // below the 14 s after the last submission in which the platform's documentation wants work to end
)

// exclusion keeps a task off a worker on which it failed, stalled or was slowed.
type exclusion struct {
	until  time.Duration // boot clock
	length time.Duration
}

// exclude keeps a task off a worker for some time. The caller holds the session's mutex.
func (s *session) exclude(name workflow.Name, worker string) {
	if s.excluded[name] == nil {
		s.excluded[name] = map[string]exclusion{}
	}
	length := min(max(minExclusion, 2*s.excluded[name][worker].length), maxExclusion)
	s.excluded[name][worker] = exclusion{until: s.SinceBoot() + length, length: length}
	event.TaskExcluded.Info("task", name.String(), "worker", worker, "for_ms", length.Milliseconds())
}

// dropExclusions removes the exclusions and stalls of a job's tasks. The caller holds the session's mutex.
func (s *session) dropExclusions(j *workflow.Job) {
	for _, step := range j.Steps {
		for _, t := range step.Tasks {
			delete(s.excluded, t.Name())
			delete(s.stalls, t.Name())
		}
	}
}

// suspend keeps new tasks off the worker for a time that doubles with each suspension, up to maxSuspension. The caller holds the session's mutex.
func (l *link) suspend(reason string) {
	h := &l.health
	h.lastSuspension = min(max(minSuspension, 2*h.lastSuspension), maxSuspension)
	h.suspended = l.s.SinceBoot() + h.lastSuspension
	event.CalledWorkerSuspended.Info("worker", l.id, "reason", reason, "workflows", len(h.failedWorkflows), "for_ms", h.lastSuspension.Milliseconds())
}

// taskDuration is the mean run time of a queue's tasks.
type taskDuration struct {
	mean  time.Duration
	count int
}

// Number of tasks over which a queue's mean run time is averaged, and the least number before it is used, since the first tasks to end are the shortest.
const (
	durationWindow     = 64
	minDurationSamples = 24
)

// recordDuration adds the run time of a task to its queue's mean. The caller holds the session's mutex.
func (s *session) recordDuration(r *run) {
	if r == nil || !r.listed || r.order.Checkpoint != "" {
		return
	}
	queue := r.task.Step.Job.Place()
	p := s.taskDuration[queue]
	if p == nil {
		p = &taskDuration{}
		s.taskDuration[queue] = p
	}
	if s.ahead != nil {
		s.ahead.durations.Record(durationKey(r.task.Step), s.SinceBoot()-r.firstListedAt)
	}
	p.count = min(p.count+1, durationWindow)
	p.mean += (s.SinceBoot() - r.firstListedAt - p.mean) / time.Duration(p.count)
}

// Conditions for moving a slowed filling task to another worker.
const (
	movedBelowPace  = 30          // percent of its full speed
	moveDelay       = time.Second // time until a reading reflects a change of pace
	maxLostProgress = 25          // percent of its work that a task without checkpoints may lose
)

// moveSlowed stops filling tasks that are slowed for serving tasks, so that they continue on another worker from their checkpoints.
func (s *session) moveSlowed() {
	now := s.SinceBoot()
	var slowed []runKey
	s.mu.Lock()
	for key, r := range s.runs {
		spec := r.task.Step.Spec
		if r.phase != started || r.pace >= movedBelowPace || spec.GetGang() || now-r.pacedAt < moveDelay {
			continue
		}
		if spec.GetCheckpointing() || r.percent < maxLostProgress {
			slowed = append(slowed, key)
			s.exclude(key.name, r.worker.GetId())
		}
	}
	s.mu.Unlock()
	for _, key := range slowed {
		s.stopByKey(key, "it is slowed and continues on another worker")
	}
}

// isStalled reports whether the worker has listed a run without progress for its stall time, scaled by its pace. The caller holds the session's mutex.
func (s *session) isStalled(r *run) bool {
	return r.listed && r.pace > 0 && (r.listedAt-r.progressAt)*time.Duration(r.pace)/100 >= s.stallTime(r)
}

// stallTime returns how long a run may be listed without progress. It covers some percents of the task's work, by its estimate or by the progress so far, whichever is slower. Estimates can be far off, so it doubles each time the task stalls. The caller holds the session's mutex.
func (s *session) stallTime(r *run) time.Duration {
	perPercent := time.Duration(r.task.Step.Spec.GetExpectedMs()) * time.Millisecond / 100
	if done := r.percent - r.firstPercent; done > 0 {
		perPercent = max(perPercent, (r.progressAt-r.firstListedAt)/time.Duration(done))
	}
	return max(stallTimeout<<min(s.stalls[r.name], maxStallDoubling), stallPercents*perPercent)
}

// stopStalled stops tasks that make no progress, so that they continue on another worker.
func (s *session) stopStalled() {
	var stalled []runKey
	s.mu.Lock()
	for key, r := range s.runs {
		if r.phase != started || r.task.Step.Spec.GetGang() || r.percent >= 100 || !s.isStalled(r) {
			continue
		}
		stalled = append(stalled, key)
		s.stalls[key.name]++
		s.exclude(key.name, r.worker.GetId())
		h := &r.link.health
		if h.failedWorkflows == nil {
			h.failedWorkflows = map[string]struct{}{}
		}
		h.failedWorkflows[key.name.Workflow] = struct{}{}
		if len(h.failedWorkflows) >= suspendThreshold {
			r.link.suspend("its tasks stand still")
		}
	}
	s.mu.Unlock()
	for _, key := range stalled {
		s.stopByKey(key, "it makes no progress")
	}
}
