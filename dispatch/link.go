package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// link is what a leadership knows of one life of a worker, and keeps its lease.
type link struct {
	s          *session
	id         string
	ctx        context.Context
	cancel     context.CancelFunc
	runs       map[runKey]*run    // guarded by the session's mutex
	health     health             // guarded by the session's mutex
	victims    map[runKey]*victim // serving tasks; guarded by the session's mutex
	listed     bool               // the worker has listed its runs to this leader; guarded by the session's mutex
	revised    bool               // what it offers may have changed since it was last listed for placing; guarded by the session's mutex
	spared     int64              // thousandths of a core that slowed filling tasks leave, as last listed; guarded by the session's mutex
	processors int64              // thousandths of a core, at least 1
	near       bool               // a serving task is near its target; guarded by the session's mutex

	mu       sync.Mutex // guards what follows
	worker   *wire.CalledWorker
	clockMS  int64         // a reading of the worker's clock
	readAt   time.Duration // boot clock, when the reading had surely been taken; 0 for never
	leaseMS  int64         // worker's clock: latest deadline given in this leadership
	lapsesAt time.Duration // boot clock: when the worker has surely lost all that runs, whoever gave the lease
	heardAt  time.Duration // boot clock, of the last answer to a hold; 0 while it is silent
	lapsed   bool          // its runs were committed as lapsed and it has not been heard since
	coolTill time.Duration // boot clock until which nothing new is placed on it
	strays   map[runKey]struct{}
}

func newLink(s *session, w *wire.CalledWorker) *link {
	l := &link{s: s, id: w.GetId(), worker: w, processors: max(1, w.GetCapacity().GetMilliCpu()), runs: map[runKey]*run{}, victims: map[runKey]*victim{}, strays: map[runKey]struct{}{}}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	l.lapsesAt = s.Boot() + slow(s.MaxLease)
	return l
}

// slow returns how long a worker's clock may take for a time.
func slow(d time.Duration) time.Duration {
	return d + d/(driftDivisor-1)
}

func (l *link) setWorker(w *wire.CalledWorker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.worker = w
}

// current returns what the worker last said of itself.
func (l *link) current() *wire.CalledWorker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worker
}

// granted returns the lease's deadline on the worker's clock; ok is false while the worker is silent.
func (l *link) granted() (deadline int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseMS, l.heardAt != 0 && l.leaseMS != 0
}

// usable says whether new tasks may be placed on the worker.
func (l *link) usable(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heardAt != 0 && l.leaseMS != 0 && now >= l.coolTill
}

// coolTimes are how long a worker gets nothing new after a refusal.
var coolTimes = map[call.Refusal]time.Duration{
	call.Unhealthy: time.Second,            // it said that it takes nothing now
	call.NoRoom:    500 * time.Millisecond, // what it still stops ends within 900 ms
	call.TooLate:   500 * time.Millisecond, // until the next hold has been answered
}

func (l *link) cool(refusal call.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coolTill = max(l.coolTill, l.s.Boot()+coolTimes[refusal])
}

// otherLife notes that this life of the worker has ended.
func (l *link) otherLife() {
	w := l.current()
	event.WorkerReplaced.Info("worker", l.id, "born", w.GetBorn())
	gone := &wire.CalledWorker{Id: w.GetId(), Born: w.GetBorn(), Address: w.GetAddress(), Gone: true}
	l.s.tasks.Go(func() { l.s.commitSoon(&wire.WorkflowCommand{Workers: []*wire.CalledWorker{gone}}) })
	l.cancel()
}

// run keeps the worker's lease until the worker is gone or the leadership ends.
func (l *link) run() {
	s := l.s
	for s.awaitLive(l.ctx) {
		sent := s.Boot()
		order := l.nextHold(sent)
		ctx, cancel := context.WithTimeout(l.ctx, callTime+order.Wait)
		listing, err := s.Calls.Hold(ctx, l.current(), order)
		cancel()
		switch {
		case errors.Is(err, call.ErrOtherLife):
			l.otherLife()
			return
		case err != nil:
			l.silent(err)
			s.pause(retryFirst)
		case listing.Refusal == call.Deposed:
			event.WorkerObeysOther.Info("worker", l.id, "fence", s.fence)
			s.pause(holdWait)
		case listing.Refusal != call.Accepted:
			l.silent(fmt.Errorf("the hold was refused: %s", listing.Refusal))
			s.pause(retryFirst)
		default:
			l.heard(listing)
			l.take(sent, listing)
		}
	}
}

// nextHold returns the next order; one to a silent worker extends nothing, so that its lease ends at a known time,
// and takes note of no end, since the worker may have started anew and counts its ends from 1 again.
func (l *link) nextHold(now time.Duration) *call.Hold {
	noted, born := int64(0), l.current().GetBorn()
	l.s.Table.View(func(t *workflow.Tables) {
		if w := t.Workers[l.id]; w != nil && w.GetBorn() == born {
			noted = w.Noted
		}
	})
	wait := l.waitTime()
	l.mu.Lock()
	defer l.mu.Unlock()
	order := &call.Hold{Fence: l.s.fence}
	if l.heardAt == 0 {
		return order
	}
	order.Noted = noted
	order.DeadlineMS = l.clockMS + (now - l.readAt + l.s.Lease).Milliseconds()
	if l.leaseMS != 0 {
		order.Wait = wait
	}
	l.leaseMS = max(l.leaseMS, order.DeadlineMS)
	l.boundLease()
	return order
}

// waitTime returns how long the worker may wait for an end before it answers.
func (l *link) waitTime() time.Duration {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.near {
		return watchWait
	}
	return holdWait
}

// boundLease works out when the lease has surely ended: the worker's clock read at least clockMS at readAt and is little slower than ours.
func (l *link) boundLease() {
	left := time.Duration(l.leaseMS-l.clockMS) * time.Millisecond
	l.lapsesAt = l.readAt + slow(left)
}

func (l *link) heard(listing *call.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.s.Boot()
	if l.heardAt == 0 {
		event.WorkerHeard.Info("worker", l.id, "address", l.worker.GetAddress(), "clock_ms", listing.ClockMS)
	}
	l.heardAt = now
	l.lapsed = false
	if listing.ClockMS > 0 {
		l.clockMS, l.readAt = listing.ClockMS, now
	}
}

// silent notes an unanswered hold and takes the worker's runs back once its lease has surely ended.
func (l *link) silent(cause error) {
	l.mu.Lock()
	now := l.s.Boot()
	if l.heardAt != 0 {
		event.WorkerSilent.Error(cause, "worker", l.id, "address", l.worker.GetAddress(), "lapses_in_ms", (l.lapsesAt - now).Milliseconds())
	}
	l.heardAt = 0
	take := now >= l.lapsesAt && !l.lapsed
	if take {
		l.lapsed = true
		l.leaseMS = 0
	}
	l.mu.Unlock()
	if take {
		l.lapse()
	}
}

// lapse commits that all runs on the worker have ended with its lease.
func (l *link) lapse() {
	s := l.s
	var ends []*wire.RunEnd
	var keys []runKey
	born := l.current().GetBorn()
	s.Table.View(func(t *workflow.Tables) {
		w := t.Workers[l.id]
		if w == nil || w.GetBorn() != born {
			return
		}
		for task := range w.Tasks {
			key := runKey{task.Name(), task.Run}
			keys = append(keys, key)
			ends = append(ends, &wire.RunEnd{Task: key.name.Wire(), Run: key.number, Worker: l.id, Born: w.GetBorn(), Outcome: wire.RunOutcome_RUN_OUTCOME_LAPSED, Checkpoint: s.checkpointOf(key)})
		}
	})
	s.lapses.Inc()
	event.LeaseLapsed.Info("worker", l.id, "runs", len(ends))
	if len(ends) == 0 || !s.commitEnds(ends) {
		return
	}
	for _, key := range keys {
		s.forget(key)
	}
}

func (s *session) checkpointOf(key runKey) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[key]; r != nil {
		return r.checkpoint
	}
	return ""
}
