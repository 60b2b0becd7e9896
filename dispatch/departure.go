package dispatch

import (
	"context"
	"time"

	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// A worker that says that it has ended may have listed the end of a run in an answer that was lost, so its departure is no end of its runs.
// Its tasks are freed by their listed ends, by a complete listing that was requested after the departure and does not show the run, or by the end of the lease, which is not extended any more.

// departureWait bounds how long the acknowledgement of a departure waits for a worker's last listing. A worker may end its process once it is acknowledged; an answer usually takes a few milliseconds, and a commit some tens.
const departureWait = 300 * time.Millisecond

// Depart records that an incarnation of a worker says that it has ended. It returns once all its tasks are freed by evidence, or after departureWait, and an error only if the leadership has ended.
func (l *Loop) Depart(ctx context.Context, worker string, born int64) error {
	ctx, cancel := context.WithTimeout(ctx, departureWait)
	defer cancel()
	command := &wire.WorkflowCommand{Workers: []*wire.CalledWorker{{Id: worker, Born: born, Departed: true}}}
	committed := make(chan struct{})
	s := l.goInSession(func(s *session) {
		defer close(committed)
		if link := s.linkOf(worker); link != nil && link.currentWorker().GetBorn() == born {
			link.depart()
		}
		s.commitWithRetry(command)
	})
	if s == nil { // the links of the next session learn of it from the state
		if _, err := l.options.Commit(ctx, command); err != nil && ctx.Err() == nil {
			return err
		}
		return nil
	}
	link := s.linkOf(worker)
	select {
	case <-committed:
	case <-ctx.Done():
	}
	if link != nil && s.ctx.Err() == nil && s.runsHeld(worker, born) > 0 {
		select {
		case <-link.ctx.Done():
		case <-ctx.Done():
		}
	}
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	if runs := s.runsHeld(worker, born); runs > 0 {
		event.DepartureUnknown.Info("worker", worker, "born", born, "runs", runs)
	}
	return nil
}

// goInSession runs f in a goroutine of the present session and returns the session, nil if there is none.
func (l *Loop) goInSession(f func(*session)) *session {
	l.mu.Lock() // the session does not end before the goroutine counts
	defer l.mu.Unlock()
	s := l.session.Load()
	if s != nil {
		s.tasks.Go(func() { f(s) })
	}
	return s
}

// endSession leaves no session to which goroutines could be added.
func (l *Loop) endSession() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session.Store(nil)
}

// runsHeld returns how many tasks are committed to an incarnation of a worker.
func (s *session) runsHeld(worker string, born int64) int {
	count := 0
	s.Table.View(func(t *workflow.Tables) {
		if w := t.Workers[worker]; w != nil && w.GetBorn() == born {
			count = len(w.Tasks)
		}
	})
	return count
}

// depart stops starts and extensions of the lease, and sends a hold at once. The hold in progress goes on, since its answer may be the last that a worker gives that is shutting down.
func (l *link) depart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.departing {
		return
	}
	l.departing, l.keeper = true, 1
	l.s.tasks.Go(func() { l.keepLease(1) })
}

func (l *link) isKeeper(keeper int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper == keeper
}

func (l *link) isDeparting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.departing
}

// endMissing commits the ends of runs that a departed worker does not list. The listing has to be complete and requested after the departure.
// A run whose start is unanswered may still begin; it is stopped first, as on any other worker. The start of an earlier leader can't, since the worker has seen a later fencing token; but one that is in flight may begin on the next incarnation under its id.
func (l *link) endMissing(sent time.Duration, listed map[runKey]struct{}) {
	s := l.s
	var missing []runKey
	adoptedInFlight := sent < l.began+callTimeout // starts of an earlier leader
	s.mu.Lock()
	for key, r := range l.runs {
		if _, ok := listed[key]; ok || r.phaseSince > sent && r.phase < stopping {
			continue
		}
		if r.adopted && !r.begun && adoptedInFlight {
			continue
		}
		if r.begun && r.begunAt <= sent || r.phase == stopped && r.phaseSince <= sent || r.adopted && r.sentAt == 0 {
			missing = append(missing, key)
		}
	}
	s.mu.Unlock()
	if len(missing) == 0 {
		return
	}
	ends := make([]*wire.RunEnd, 0, len(missing))
	for _, key := range missing {
		ends = append(ends, l.lostRun(key))
	}
	event.DepartedRunsFreed.Info("worker", l.id, "born", l.currentWorker().GetBorn(), "runs", len(ends), "not_begun", countNotRun(ends))
	logLost(ends, "its worker has left and does not list it")
	if !s.commitEnds(ends) {
		return
	}
	for _, key := range missing {
		l.dropRun(key)
	}
}
