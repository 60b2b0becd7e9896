package dispatch

import (
	"fmt"
	"time"

	"daisyswitch/event"
)

// An order names its worker by id alone, so a later incarnation under the same id may execute what was meant for an earlier one, also seconds late.
// Listings name their incarnation; answers to starts do not, but the worker's clock begins anew with each incarnation.

// maxOrderDelay is the longest time after which a worker executes an order that it has not answered; the platform's documentation names 12 s.
const maxOrderDelay = 12 * time.Second

// predecessor is what the link of a worker's former incarnation leaves to the next one.
type predecessor struct {
	uncertain   map[runKey]struct{}      // runs of which a start may still be executed
	lateUntil   map[runKey]time.Duration // boot clock until which unanswered starts of runs may be executed
	grantsEndAt time.Duration            // boot clock by which every order that grants a lease has been answered or given up
}

// predecessor returns what the next incarnation's link has to know. The caller holds the session's mutex.
func (l *link) predecessor() predecessor {
	now := l.s.SinceBoot()
	adoptedLate := now < l.began+lateWindow // an earlier leader's starts may be unanswered
	p := predecessor{uncertain: map[runKey]struct{}{}, lateUntil: map[runKey]time.Duration{}}
	for key, r := range l.runs {
		if until := r.knownLateUntil(); now < until {
			p.lateUntil[key] = until
		}
		if r.late || adoptedLate && r.mayHaveEarlierStart() || l.isUncertain(r, now) {
			p.uncertain[key] = struct{}{}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p.grantsEndAt = max(l.grantsEndAt, l.former.grantsEndAt)
	return p
}

// recordRestart records that a later incarnation of the worker answered. It may execute what was meant for this one, under a lease of its own.
// Its announcement hands the runs over to it; without one they end with the longest lease that it can hold.
func (l *link) recordRestart(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardAt = 0
	if l.restarted {
		return
	}
	l.restarted = true
	l.cancelHold() // the next ones bar orders for this incarnation
	now := l.s.SinceBoot()
	l.othersLapse = laterEnd(l.othersLapse, l.longestLease(restart, max(now, l.grantsEndAt)))
	l.lapse = laterEnd(l.lapse, l.othersLapse)
	event.WorkerRestarted.Error(cause, "worker", l.id, "born", l.worker.GetBorn(), "restarts", l.fence.Restarts, "lapses_in_ms", (l.lapse.at - now).Milliseconds(), "counted_from", string(l.lapse.origin), "counted_ms_ago", (now - l.lapse.since).Milliseconds())
}

// recordLaterAnswer records that a later incarnation has answered a hold. The next holds carry its fencing token, so that it executes nothing that was meant for this one, even if its announcement is late. barred says that the answered hold carried it already.
func (l *link) recordLaterAnswer(barred bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.barsFormer = true
	if barred && l.barredAt == 0 {
		l.barredAt = l.s.SinceBoot()
	}
}

// mayHaveMoved reports whether the runs may be at work at another address. An announcement with the worker's id and a later birth may name any address, so while the incarnation has never answered, another worker there is no evidence that the former one has ended.
func (l *link) mayHaveMoved() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence.Restarts > 0 && !l.answered && !l.lapsed
}

// isUnlistedFormer reports whether a run was committed for an earlier incarnation and has not been listed by this one.
func (l *link) isUnlistedFormer(key runKey) bool {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	r := l.runs[key]
	return r != nil && r.former && !r.listed
}

// recordFormerOrder records that this incarnation has executed a start that was meant for an earlier one.
func (l *link) recordFormerOrder(key runKey, state string) {
	l.s.formerOrders.Inc()
	event.FormerOrderExecuted.Info("worker", l.id, "born", l.currentWorker().GetBorn(), "task", key.name.String(), "run", key.number, "state", state)
}

// confirmStart records which incarnation accepted a start. It returns false if a later one did, which has then to be stopped.
func (s *session) confirmStart(r *run, clockMS int64) bool {
	agrees, later := s.checkAnswer(r, clockMS)
	if later {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.confirmed = r.confirmed || agrees
	return true
}

// checkAnswer reports by the clock in the answer to a start whether this incarnation or a later one gave it, and records a later one.
func (s *session) checkAnswer(r *run, clockMS int64) (agrees, later bool) {
	s.mu.Lock()
	sent := r.sentAt
	s.mu.Unlock()
	agrees, later = r.link.checkClock(sent, clockMS)
	if later {
		r.link.recordRestart(fmt.Errorf("its clock reads %d ms, which is before its last reading", clockMS))
	}
	return agrees, later
}

// checkClock compares the clock in an answer to a start with this incarnation's, and reports whether they agree. A clock that is behind shows a later incarnation.
func (l *link) checkClock(sent time.Duration, clockMS int64) (agrees, behind bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if clockMS == 0 || l.clockReadAt == 0 || l.clockReadAt > sent {
		return false, false
	}
	leastMS := l.clockMS + withoutMaxDrift(sent-l.clockReadAt).Milliseconds()
	mostMS := l.clockMS + (l.s.SinceBoot() - l.clockAskedAt).Milliseconds() + 1
	return clockMS >= leastMS && clockMS <= mostMS, clockMS < leastMS
}

// recordGrant records that a start is about to be sent, whose deadline prolongs the lease of all runs of the incarnation that receives it.
func (l *link) recordGrant(sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantsEndAt = max(l.grantsEndAt, sent+callTimeout)
}

// isUncertain reports whether a later incarnation may execute a start of a run: one that this incarnation is not known to have accepted, or an earlier one of the same run that was not answered. The caller holds the session's mutex.
func (l *link) isUncertain(r *run, now time.Duration) bool {
	if r.sentAt != 0 && !r.confirmed {
		return true
	}
	return r.unansweredAt != 0 && now < r.unansweredAt+maxOrderDelay+withMaxDrift(l.s.MaxLease)
}

// mayHaveEarlierStart reports whether an earlier leader has sent a start of a run that may not have been executed yet. The only start of a run that was listed has been executed. The caller holds the session's mutex.
func (r *run) mayHaveEarlierStart() bool {
	return r.adopted && (!r.listed || r.resentBefore)
}

// unconfirmedRuns returns the runs that may go on after the leases that were granted to this incarnation: a later one may have accepted their starts, or this one may execute late what was meant for its predecessor. It returns them until each lease that such orders can grant has expired.
func (l *link) unconfirmedRuns(now time.Duration) map[runKey]struct{} {
	l.mu.Lock()
	later := now < max(l.grantsEndAt, l.barredAt)+withMaxDrift(l.s.MaxLease)
	late := !l.answered && now < l.began+maxOrderDelay+withMaxDrift(l.s.MaxLease)
	adopted := now < l.began+callTimeout+withMaxDrift(l.s.MaxLease) // a start of an earlier leader may have been in flight
	l.mu.Unlock()
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	unconfirmed := map[runKey]struct{}{}
	for key, r := range l.runs {
		if later && l.isUncertain(r, now) || late && r.late || adopted && r.mayHaveEarlierStart() {
			unconfirmed[key] = struct{}{}
		}
	}
	return unconfirmed
}
