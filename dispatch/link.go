package dispatch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// link holds this leadership's state of one incarnation of a worker, and extends the worker's lease.
type link struct {
	s                *session
	id               string
	fence            call.Fence // of all orders for this incarnation
	ctx              context.Context
	cancel           context.CancelFunc
	began            time.Duration           // boot clock, when this leader began to call it
	former           predecessor             // what the former incarnation left, empty without one
	runs             map[runKey]*run         // guarded by the session's mutex
	health           health                  // guarded by the session's mutex
	serving          map[runKey]*servingTask // serving tasks; guarded by the session's mutex
	runsListed       bool                    // the worker has listed its runs to this leader; guarded by the session's mutex
	offerChanged     bool                    // the worker's offer may have changed since its candidate was updated; guarded by the session's mutex
	sparedMilliCPU   int64                   // thousandths of a core that slowed filling tasks leave unused, as last listed; guarded by the session's mutex
	capacityMilliCPU int64                   // thousandths of a core, at least 1
	longCheckpoints  bool                    // the last listing had checkpoints that were dropped; guarded by listings
	nearTarget       bool                    // a serving task beside filling tasks is near its target; guarded by the session's mutex

	listings chan struct{} // holds a value while a listing is processed, since the ends of one worker are committed one after the other

	mu            sync.Mutex // guards the fields below
	worker        *wire.CalledWorker
	clockMS       int64               // a reading of the worker's clock
	clockAskedAt  time.Duration       // boot clock, after which the reading was taken
	clockReadAt   time.Duration       // boot clock by which the reading had certainly been taken; 0 for never
	leaseMS       int64               // worker's clock: latest deadline granted in this leadership
	grantedAt     time.Duration       // boot clock, when that deadline was sent
	lapse         leaseEnd            // by which every lease has expired, whoever granted it, and nothing runs there
	othersLapse   leaseEnd            // by which the leases have expired that other leaders, or orders for an earlier incarnation, have granted
	answered      bool                // it has answered a hold of this leader, so no order with a lower fencing token has any effect from then on
	grantsEndAt   time.Duration       // boot clock by which every order that grants a lease has been answered or given up
	heardAt       time.Duration       // boot clock, of the last answer to a hold; 0 while holds time out or fail
	lapsed        bool                // its runs were committed as lapsed and it has not answered since
	barsFormer    bool                // holds carry the fencing token of a later incarnation
	barredAt      time.Duration       // boot clock, when a later incarnation first answered such a hold; 0 for never
	restarted     bool                // a later incarnation answered, which is not announced yet
	cooldownUntil time.Duration       // boot clock until which no new tasks are placed on it
	strays        map[runKey]struct{} // that are being stopped
	listsStrays   bool                // the last listing has runs that are not committed to it, whose room is not counted
	departing     bool                // the worker says that it has ended
	keeper        int                 // of its lease, counted from 0; the one before ends with its hold in progress
	departListed  bool                // it has answered since with a complete listing
	cancelHold    func()              // of the hold in progress

	committedEnds int64         // number of the last listed end that this leader has committed
	acknowledged  int64         // number of the last end that may be acknowledged
	firstListed   int64         // number of the first end in the last listing, 0 if it had none
	deferred      []deferredEnd // ends that may not be acknowledged yet
}

func newLink(s *session, w *wire.CalledWorker, former predecessor) *link {
	l := &link{s: s, id: w.GetId(), fence: call.Fence{Term: s.term, Restarts: w.GetRestarts()}, worker: w, capacityMilliCPU: max(1, w.GetCapacity().GetMilliCpu()), runs: map[runKey]*run{}, serving: map[runKey]*servingTask{}, strays: map[runKey]struct{}{}, departing: w.GetDeparted(), listings: make(chan struct{}, 1), cancelHold: func() {}}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	l.began, l.former = s.SinceBoot(), former
	if w.GetRestarts() > 0 && former.grantsEndAt == 0 { // an earlier leader's orders may be in flight
		l.former.grantsEndAt = l.began + callTimeout + longHoldWait
	}
	startsEndAt := l.began
	if l.former.grantsEndAt == 0 { // no former incarnation is known; one that is not announced may execute a start of an earlier leader
		startsEndAt += callTimeout
	}
	l.othersLapse = laterEnd(l.longestLease(firstCall, startsEndAt), l.longestLease(formerOrder, l.former.grantsEndAt))
	l.lapse = l.othersLapse
	return l
}

// withMaxDrift returns the longest time, on this process's clock, in which a worker's clock advances by d.
func withMaxDrift(d time.Duration) time.Duration {
	return d + d/(driftDivisor-1)
}

// withoutMaxDrift returns the least time by which a worker's clock advances in a time d of this process's clock.
func withoutMaxDrift(d time.Duration) time.Duration {
	return d - d/driftDivisor
}

func (l *link) setWorker(w *wire.CalledWorker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.worker = w
	l.departing = l.departing || w.GetDeparted()
}

// currentWorker returns the worker's latest committed record.
func (l *link) currentWorker() *wire.CalledWorker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worker
}

// leaseDeadline returns the lease's deadline on the worker's clock. ok is false while the worker does not answer, has no lease or is departing.
func (l *link) leaseDeadline() (deadline int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseMS, l.heardAt != 0 && l.leaseMS != 0 && !l.departing
}

// usable reports whether new tasks may be placed on the worker.
func (l *link) usable(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heardAt != 0 && l.leaseMS != 0 && !l.departing && !l.listsStrays && now >= l.cooldownUntil
}

// cooldowns holds how long a worker gets no new tasks after a refusal.
var cooldowns = map[call.Refusal]time.Duration{
	call.Unhealthy:      time.Second,            // it reported that it accepts no tasks now
	call.NoRoom:         500 * time.Millisecond, // runs that it is still stopping end within 900 ms
	call.DeadlinePassed: 500 * time.Millisecond, // until the next hold has extended the lease
}

func (l *link) startCooldown(refusal call.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cooldownUntil = max(l.cooldownUntil, l.s.SinceBoot()+cooldowns[refusal])
}

// markReplaced commits that the worker has ended, since another worker answers at its address, and stops calling it. It is no evidence of the ends of a departing worker, whose address may be given to another before they are known.
func (l *link) markReplaced() {
	if l.isDeparting() || l.mayHaveMoved() {
		return
	}
	w := l.currentWorker()
	event.WorkerReplaced.Info("worker", l.id, "born", w.GetBorn())
	gone := &wire.CalledWorker{Id: w.GetId(), Born: w.GetBorn(), Address: w.GetAddress(), Gone: true}
	var ends []*wire.RunEnd
	for _, key := range l.runKeys() {
		ends = append(ends, l.lostRun(key))
	}
	logLost(ends, "another worker answers at its worker's address")
	l.cancel()
	l.setSilent()
	l.s.tasks.Go(func() {
		if l.s.commitEnds(ends) {
			l.s.commitWithRetry(&wire.WorkflowCommand{Workers: []*wire.CalledWorker{gone}})
		}
	})
}

func (l *link) setSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardAt = 0
}

func (l *link) runKeys() []runKey {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return slices.Collect(maps.Keys(l.runs))
}

// lostRun returns the end of a run that ended with its worker or with the lease.
func (l *link) lostRun(key runKey) *wire.RunEnd {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	end := &wire.RunEnd{Task: key.name.Wire(), Run: key.number, Worker: l.id, Born: l.currentWorker().GetBorn(), Outcome: wire.RunOutcome_RUN_OUTCOME_NOT_RUN}
	if r := l.runs[key]; r != nil {
		end.Checkpoint, end.Outcome = r.checkpoint, r.lostOutcome()
	}
	return end
}

func countNotRun(ends []*wire.RunEnd) int {
	count := 0
	for _, e := range ends {
		if e.GetOutcome() == wire.RunOutcome_RUN_OUTCOME_NOT_RUN {
			count++
		}
	}
	return count
}

// keepLease extends the worker's lease until the worker is gone, another keeper takes over or the leadership ends.
func (l *link) keepLease(keeper int) {
	s := l.s
	for s.awaitMayCall(l.ctx) && l.isKeeper(keeper) {
		sent := s.SinceBoot()
		order, departing := l.nextHold(sent)
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout+order.Wait)
		l.setCancelHold(cancel)
		listing, err := s.Calls.Hold(ctx, l.currentWorker(), order)
		cancel()
		switch {
		case err != nil && !departing && l.isDeparting():
			// the hold that was sent since shows whether the worker still answers
		case errors.Is(err, call.ErrOtherWorker) && (departing || l.mayHaveMoved()):
			l.recordSilence(err)
			s.pause(maxRetryDelay)
		case errors.Is(err, call.ErrOtherWorker):
			l.markReplaced()
			return
		case errors.Is(err, call.ErrRestarted):
			barred := order.Fence != l.fence
			l.recordRestart(err)
			l.recordLaterAnswer(barred)
			l.recordSilence(err)
			if barred { // otherwise the next hold bars what was meant for this incarnation
				s.pause(maxRetryDelay)
			}
		case err != nil:
			l.recordSilence(err)
			s.pause(minRetryDelay)
		case listing.Refusal == call.StaleFence:
			event.WorkerObeysOther.Info("worker", l.id, "fence", order.Fence.Token())
			l.recordSilence(errors.New("the worker has seen a higher fencing token"))
			s.pause(longHoldWait)
		case listing.Refusal != call.Accepted:
			l.recordSilence(fmt.Errorf("the worker refused the hold: %s", listing.Refusal))
			s.pause(minRetryDelay)
		default:
			l.recordAnswer(sent, listing)
			l.processListing(sent, listing, departing)
			l.awaitDeferred(listing)
		}
	}
}

func (l *link) setCancelHold(cancel func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelHold = cancel
}

// askAgain ends the hold in progress, so that the next one shows whose answers come from the worker's address.
func (l *link) askAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelHold()
}

// nextHold returns the next hold. A hold to a worker that does not answer extends no lease, so that the lease expires at a known time.
// It also acknowledges no ends, since the worker may have restarted and number its ends from 1 again, and no hold acknowledges an end while a start of its task may be executed late.
// A departing worker's lease is not extended either, and it answers without a wait until it has listed its runs. The second result says that the worker is departing.
func (l *link) nextHold(now time.Duration) (*call.Hold, bool) {
	noted := l.notedEnds()
	wait := l.holdWait()
	l.mu.Lock()
	defer l.mu.Unlock()
	order := &call.Hold{Fence: l.fence}
	if l.barsFormer {
		order.Fence.Restarts++
	}
	if l.heardAt == 0 {
		return order, l.departing
	}
	order.Noted = l.nextAcknowledgement(now, noted)
	if l.departing {
		if l.departListed {
			order.Wait = shortHoldWait
		}
		return order, true
	}
	order.DeadlineMS = l.clockMS + (now - l.clockReadAt + l.s.Lease).Milliseconds()
	if l.leaseMS != 0 && len(l.deferred) == 0 {
		order.Wait = wait
	}
	if order.DeadlineMS > l.leaseMS {
		l.leaseMS, l.grantedAt = order.DeadlineMS, now
	}
	l.grantsEndAt = max(l.grantsEndAt, now+callTimeout+order.Wait)
	l.updateLapse()
	return order, false
}

// notedEnds returns the number of the worker's last end that is in the state, 0 if the worker is not.
func (l *link) notedEnds() int64 {
	noted, born := int64(0), l.currentWorker().GetBorn()
	l.s.Table.View(func(t *workflow.Tables) {
		if w := t.Workers[l.id]; w != nil && w.GetBorn() == born {
			noted = w.Noted
		}
	})
	return noted
}

// holdWait returns how long the worker may wait for a run to end before it answers.
func (l *link) holdWait() time.Duration {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.nearTarget {
		return shortHoldWait
	}
	for _, r := range l.runs {
		if r.phase >= stopping && !r.listed {
			return shortHoldWait // no end may follow that would end the wait
		}
	}
	return longHoldWait
}

// updateLapse computes when the lease has certainly expired: the worker's clock read at least clockMS at clockReadAt and is slow by at most 1/driftDivisor.
func (l *link) updateLapse() {
	left := time.Duration(l.leaseMS-l.clockMS) * time.Millisecond
	l.lapse = laterEnd(l.othersLapse, leaseEnd{at: l.clockReadAt + withMaxDrift(left), origin: ownGrant, since: l.grantedAt})
}

// leaseTimes returns by when every lease has expired, and when the worker's clock was last read, on the boot clock.
func (l *link) leaseTimes() (lapse leaseEnd, clockReadAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lapse, l.clockReadAt
}

func (l *link) recordAnswer(sent time.Duration, listing *call.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.s.SinceBoot()
	if l.heardAt == 0 {
		event.WorkerHeard.Info("worker", l.id, "born", l.worker.GetBorn(), "restarts", l.fence.Restarts, "address", l.worker.GetAddress(), "clock_ms", listing.ClockMS)
	}
	l.heardAt = now
	l.lapsed, l.restarted = false, false
	l.recordListedEnds(listing.Ended)
	if !l.answered {
		l.recordFirstAnswer(now)
	}
	if listing.ClockMS > 0 {
		l.clockMS, l.clockAskedAt, l.clockReadAt = listing.ClockMS, sent, now
	}
}

// recordFirstAnswer bounds the leases that others have granted by what can have been executed before now. An earlier leader has granted this incarnation no longer ones than this leader will; orders for an earlier incarnation may have granted the longest.
func (l *link) recordFirstAnswer(now time.Duration) {
	l.answered, l.othersLapse = true, leaseEnd{}
	if l.fence.Restarts > 0 {
		l.othersLapse = l.longestLease(firstAnswer, now)
	}
	l.lapse = laterEnd(l.lapse, l.othersLapse)
}

// recordSilence records a failed hold, and ends the worker's runs once its lease has certainly expired.
func (l *link) recordSilence(cause error) {
	l.mu.Lock()
	now := l.s.SinceBoot()
	if l.heardAt != 0 {
		event.WorkerSilent.Error(cause, "worker", l.id, "born", l.worker.GetBorn(), "restarts", l.fence.Restarts, "address", l.worker.GetAddress(), "lapses_in_ms", (l.lapse.at - now).Milliseconds(), "counted_from", string(l.lapse.origin), "counted_ms_ago", (now - l.lapse.since).Milliseconds())
	}
	l.heardAt = 0
	take := now >= l.lapse.at && !l.lapsed
	if take {
		l.leaseMS = 0
	}
	l.mu.Unlock()
	if take && l.commitLapse(now) {
		l.mu.Lock()
		l.lapsed = true
		l.mu.Unlock()
	}
}

// commitLapse commits that the runs on the worker have ended with its lease. It returns false if some may still run, as a later incarnation may have accepted their starts, or may do so.
func (l *link) commitLapse(now time.Duration) bool {
	s := l.s
	unconfirmed := l.unconfirmedRuns(now)
	maps.Copy(unconfirmed, l.lateRuns(now))
	lapse, readAt := l.leaseTimes()
	var ends []*wire.RunEnd
	var keys []runKey
	born := l.currentWorker().GetBorn()
	s.Table.View(func(t *workflow.Tables) {
		w := t.Workers[l.id]
		if w == nil || w.GetBorn() != born {
			return
		}
		for task := range w.Tasks {
			key := runKey{task.Name(), task.Run}
			if _, skip := unconfirmed[key]; skip {
				continue
			}
			keys = append(keys, key)
			ends = append(ends, l.lostRun(key))
		}
	})
	if len(ends) > 0 || len(unconfirmed) == 0 {
		s.leaseLapses[lapse.origin].Inc()
		event.LeaseLapsed.Info("worker", l.id, "born", born, "restarts", l.fence.Restarts, "lapsed_ms_ago", (now - lapse.at).Milliseconds(), "counted_from", string(lapse.origin), "counted_ms_ago", (now - lapse.since).Milliseconds(), "clock_read_ms_ago", (now - readAt).Milliseconds(), "runs", len(ends), "not_begun", countNotRun(ends), "unconfirmed", len(unconfirmed))
	}
	logLost(ends, "its worker's lease has expired")
	if len(ends) > 0 && !s.commitEnds(ends) {
		return false
	}
	for _, key := range keys {
		l.dropRun(key)
	}
	return len(unconfirmed) == 0
}
