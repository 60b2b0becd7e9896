package dispatch

import (
	"slices"
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// A task must not start again once its end has been acknowledged. A start that was not answered may be executed up to maxOrderDelay later, also by a later incarnation, which can't tell that the run has ended.
// So if a start was sent again, the end of its run is acknowledged only when the earlier ones can't be executed any more. Until then it is lost with the incarnation that lists it. Waiting with the second start instead would cost callers up to lateWindow for each lost order.

const (
	lateWindow           = callTimeout + maxOrderDelay // after a start was sent that was not answered, until it is certainly not executed
	deferredHoldInterval = 200 * time.Millisecond      // between holds that are answered at once, since the worker lists ends that may not be acknowledged yet
)

// deferredEnd is a committed end of a run that may not be acknowledged yet.
type deferredEnd struct {
	number int64
	until  time.Duration // boot clock
}

// adoptedEnds is what the state holds of a worker's ends when a leader begins to call it.
type adoptedEnds struct {
	noted int64   // number of the last one in the state
	late  []int64 // numbers of those that may not be acknowledged while starts of their tasks may be late
}

// lateUntil returns until when an unanswered start of a run may be executed, 0 if there is none. Lasting tasks start again however they end. The caller holds the session's mutex.
func (r *run) lateUntil() time.Duration {
	if r.task.Step.Spec.GetLasting() {
		return 0
	}
	until := r.formerLateUntil
	if r.unansweredAt != 0 {
		until = max(until, r.unansweredAt+lateWindow)
	}
	if r.adopted && !r.former {
		until = max(until, r.link.began+lateWindow)
	}
	return until
}

// knownLateUntil returns until when a start of a run that this leader knows to be unanswered may be executed, 0 if there is none. A call in progress counts. The caller holds the session's mutex.
func (r *run) knownLateUntil() time.Duration {
	if r.task.Step.Spec.GetLasting() {
		return 0
	}
	until, sent := r.formerLateUntil, r.unansweredAt
	if r.calling {
		sent = r.sentAt
	}
	if sent != 0 {
		until = max(until, sent+lateWindow)
	}
	return until
}

// lateRuns returns the runs that outlast the worker's lease, since a later incarnation may still execute a start of them. A departed worker is not expected to start again, and of a workflow that has ended nothing starts elsewhere.
func (l *link) lateRuns(now time.Duration) map[runKey]struct{} {
	lateRuns := map[runKey]struct{}{}
	if l.isDeparting() {
		return lateRuns
	}
	s := l.s
	s.Table.View(func(*workflow.Tables) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for key, r := range l.runs {
			if now < r.knownLateUntil() && r.task.Step.Job.Open() {
				lateRuns[key] = struct{}{}
			}
		}
	})
	return lateRuns
}

// mayResend reports whether a start may be sent, though earlier ones of the run may still be executed: later leaders have to know that there are such.
func (s *session) mayResend(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.lateCommitted || s.SinceBoot() >= r.lateUntil()
}

// prepareResend commits that starts of a run, and of the others on its worker that wait for the same, may be executed late. One record covers them all, since an overloaded worker leaves many starts unanswered.
func (s *session) prepareResend(r *run) {
	var waiting []*run
	var names []*wire.TaskName
	s.mu.Lock()
	for _, other := range r.link.runs {
		if other.phase == starting && !other.begun && !other.lateMarked && s.SinceBoot() < other.lateUntil() {
			other.lateMarked = true
			waiting, names = append(waiting, other), append(names, other.name.Wire())
		}
	}
	s.mu.Unlock()
	if len(names) == 0 || !s.commitWithRetry(&wire.WorkflowCommand{LateStarts: names}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range waiting {
		other.lateCommitted = true
	}
}

// mayStartLate reports whether a later incarnation may still begin a run that its worker was told to stop and never began, so that its task must not start elsewhere. The present incarnation can't.
// The starts of an earlier leader that a worker has inherited are not waited for, since that would keep all of its tasks.
func (s *session) mayStartLate(r *run) bool {
	open := false
	s.Table.View(func(*workflow.Tables) { open = r.task.Step.Job.Open() })
	s.mu.Lock()
	defer s.mu.Unlock()
	return open && !r.begun && s.SinceBoot() < r.lateUntil()
}

// recordResent defers the end of a run whose start is sent again. This try may be the one that is late, and an earlier one the one that is executed now. The caller holds the session's mutex.
func (s *session) recordResent(r *run) {
	s.lateStarts[r.name] = r.sentAt + lateWindow
}

// dropLateStarts removes the late starts that are over.
func (s *session) dropLateStarts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.SinceBoot()
	for name, until := range s.lateStarts {
		if now >= until {
			delete(s.lateStarts, name)
		}
	}
}

// deferAcknowledgements finds the ends that may not be acknowledged yet. The starts of an earlier leader may be late for as long as if it had sent them when this one began.
func (l *link) deferAcknowledgements(ends []call.Ended) {
	s := l.s
	late := make([]bool, len(ends))
	s.Table.View(func(t *workflow.Tables) {
		for i, e := range ends {
			task := t.Task(e.Task)
			late[i] = task != nil && task.LateStart
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.SinceBoot()
	for i, e := range ends {
		until := s.lateStarts[e.Task]
		if late[i] {
			until = max(until, l.began+lateWindow)
		}
		if now >= until {
			continue
		}
		s.acksDeferred.Inc()
		event.AckDeferred.Info("worker", l.id, "number", e.Number, "task", e.Task.String(), "run", e.Run, "for_ms", (until - now).Milliseconds())
		l.mu.Lock()
		l.deferred = append(l.deferred, deferredEnd{number: e.Number, until: until})
		l.mu.Unlock()
	}
}

// adoptEnds takes over which ends earlier leaders have committed, and which of them may not be acknowledged yet.
func (l *link) adoptEnds(ends adoptedEnds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.committedEnds = ends.noted
	for _, number := range ends.late {
		l.deferred = append(l.deferred, deferredEnd{number: number, until: l.began + lateWindow})
	}
	l.acknowledgeable(l.began, ends.noted)
}

func (l *link) recordCommittedEnds(ends []call.Ended) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range ends {
		l.committedEnds = max(l.committedEnds, e.Number)
	}
}

func (l *link) lastAcknowledged() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acknowledged
}

// acknowledgeable returns up to which number the ends may be acknowledged, of those that are in the state. The caller holds the link's mutex.
func (l *link) acknowledgeable(now time.Duration, noted int64) int64 {
	l.deferred = slices.DeleteFunc(l.deferred, func(e deferredEnd) bool { return now >= e.until })
	for _, e := range l.deferred {
		noted = min(noted, e.number-1)
	}
	l.acknowledged = max(l.acknowledged, noted)
	return noted
}

// awaitDeferred waits before the next hold if the worker would answer it at once with the ends that it has just listed, as none of them may be acknowledged yet.
// A worker that lists its ends in parts shows the others only once these are acknowledged, which is more urgent.
func (l *link) awaitDeferred(listing *call.Listing) {
	l.mu.Lock()
	wait := len(l.deferred) > 0 && len(listing.Ended) > 0
	if wait {
		last := listing.Ended[len(listing.Ended)-1].Number
		wait = last <= l.committedEnds && !listing.MoreEnds
		if listing.MoreEnds {
			l.acknowledgeEarly(last)
		}
	}
	l.mu.Unlock()
	if wait {
		l.s.pause(deferredHoldInterval)
	}
}

// acknowledgeEarly defers no ends up to a number any more. The caller holds the link's mutex.
func (l *link) acknowledgeEarly(number int64) {
	before := len(l.deferred)
	l.deferred = slices.DeleteFunc(l.deferred, func(e deferredEnd) bool { return e.number <= number })
	if before > len(l.deferred) {
		event.AckedEarly.Info("worker", l.id, "up_to", number, "ends", before-len(l.deferred))
	}
}
