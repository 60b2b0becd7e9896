package dispatch

import (
	"fmt"
	"time"

	"daisyswitch/event"
)

// An order names its worker by id alone, so a later incarnation under the same id may execute what was meant for an earlier one.
// Listings name their incarnation; answers to starts do not, but the worker's clock begins anew with each incarnation.

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
	l.othersLapseAt = max(l.othersLapseAt, l.s.SinceBoot()+l.s.longestStartLease())
	l.lapsesAt = max(l.lapsesAt, l.othersLapseAt)
	event.WorkerRestarted.Error(cause, "worker", l.id, "born", l.worker.GetBorn(), "lapses_in_ms", l.s.longestStartLease().Milliseconds())
}

// longestStartLease is how long after a start was sent the runs of the incarnation that accepts it may last, if that is not the intended one.
// The worker's clock begins anew with each incarnation, so the deadline in the start is only bounded by the longest lease.
func (s *session) longestStartLease() time.Duration {
	return callTimeout + withMaxDrift(s.MaxLease)
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
	s.mu.Lock()
	sent := r.sentAt
	s.mu.Unlock()
	agrees, behind := r.link.checkClock(sent, clockMS)
	if behind {
		r.link.recordRestart(fmt.Errorf("its clock reads %d ms, which is before its last reading", clockMS))
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.confirmed = r.confirmed || agrees
	return true
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
func (l *link) recordGrant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantsEndAt = max(l.grantsEndAt, l.s.SinceBoot()+callTimeout)
}

// grantsLapseAt returns by when a lease has expired that any order to this incarnation has granted to a later one.
func (l *link) grantsLapseAt() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantsEndAt + withMaxDrift(l.s.MaxLease)
}

// unconfirmedRuns returns the runs whose starts a later incarnation may have accepted, as this one is not known to have done so, until each lease that such an incarnation can hold has expired.
func (l *link) unconfirmedRuns(now time.Duration) map[runKey]struct{} {
	unconfirmed := map[runKey]struct{}{}
	if now >= l.grantsLapseAt() {
		return unconfirmed
	}
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range l.runs {
		if !r.confirmed && r.sentAt != 0 {
			unconfirmed[key] = struct{}{}
		}
	}
	return unconfirmed
}
