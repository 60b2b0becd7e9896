package dispatch

import (
	"context"
	"errors"
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/lookahead"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// runKey identifies one run of a task.
type runKey struct {
	name   workflow.Name
	number int32
}

// phase is the progress of a run as known to this leader.
type phase int

const (
	starting phase = iota // the start is sent until it is answered
	started               // the worker accepted the start or lists the run
	stopping              // the stop is sent until it is answered
	stopped               // the worker accepted the stop; the run ends, or is barred from starting
)

// run is one run that is committed to a worker. The session's mutex guards the fields from begun on.
type run struct {
	runKey
	task    *workflow.Task
	link    *link
	worker  *wire.CalledWorker
	order   call.Start
	adopted bool // committed by an earlier leader, which may have sent its start
	former  bool // committed for an earlier incarnation of its worker
	late    bool // committed for an earlier incarnation, and its start may not have been executed yet

	resentBefore    bool          // an earlier leader may have sent its start more than once; starts of lasting tasks are sent again without a mark in the state
	formerLateUntil time.Duration // boot clock until which a start for an earlier incarnation may be executed, 0 if none is known

	lateMarked    bool // it is in a record, committed or not, that a start of it may be executed late; guarded by the session's mutex
	lateCommitted bool // and that record is committed; guarded by the session's mutex

	begun         bool          // the worker has accepted its start or listed it
	begunAt       time.Duration // boot clock, when that was first known
	sentAt        time.Duration // boot clock, when its start was last sent; 0 for never
	calling       bool          // the call of the start that was sent last has not ended
	unansweredAt  time.Duration // boot clock, when a start was last sent that was not answered; 0 for none
	confirmed     bool          // the worker's incarnation is known to have answered its start or to have listed it
	phase         phase
	phaseSince    time.Duration // boot clock, when the phase began
	listed        bool          // the worker has listed it as running
	checkpoint    string
	percent       int
	progressAt    time.Duration // boot clock, when percent or the pace last changed
	listedAt      time.Duration // boot clock, when the worker last listed it
	firstListedAt time.Duration // boot clock, when it was first listed
	firstPercent  int           // as first listed

	distribution *lookahead.Distribution // of its duration, nil if not known yet

	image       int           // its index in costs
	pace        int           // percent of its full speed at which it runs
	pacedAt     time.Duration // boot clock, of the last answer to a change of its pace
	pacePending bool          // a call that changes its pace is in flight
	cpuShare    float64       // share of the worker's processors that it used, as last listed
}

// trackRun starts sending a committed start, or stops a run that was committed for an earlier incarnation of its worker. adopted says that an earlier leader may have sent the start.
func (s *session) trackRun(t *workflow.Task, adopted bool) {
	var r *run
	s.Table.View(func(*workflow.Tables) {
		if t.Worker != nil {
			r = &run{
				runKey: runKey{t.Name(), t.Run}, task: t, worker: t.Worker.CalledWorker, adopted: adopted, former: t.Inherited(),
				resentBefore: adopted && (t.LateStart || t.Step.Spec.GetLasting()),
				order:        call.Start{Task: t.Name(), Run: t.Run, Payload: t.Step.Job.Spec.GetPayload(), Checkpoint: t.Checkpoint, Ticket: t.Ticket},
			}
		}
	})
	if r == nil {
		return
	}
	s.mu.Lock()
	l := s.links[r.worker.GetId()]
	known := s.runs[r.runKey] != nil
	if l != nil && !known {
		r.link, r.phaseSince, r.checkpoint = l, s.SinceBoot(), r.order.Checkpoint
		r.order.Fence = l.fence
		_, uncertain := l.former.uncertain[r.runKey]
		r.late = r.former && (adopted || uncertain)
		r.formerLateUntil = l.former.lateUntil[r.runKey]
		r.image, r.pace = s.imageNumber(t.Step.Spec.GetImage()), 100
		if adopted {
			s.recordAtWork(r, r.phaseSince)
		}
		s.runs[r.runKey] = r
		l.runs[r.runKey], l.offerChanged = r, true
	}
	s.mu.Unlock()
	switch {
	case l == nil || known:
	case r.former:
		s.tasks.Go(func() { s.stopRun(r, "it was committed for an earlier incarnation of its worker") })
	default:
		s.tasks.Go(func() { s.startRun(r) })
	}
}

// dropRun removes a run that has ended on the link's incarnation of a worker.
func (l *link) dropRun(key runKey) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if r := l.runs[key]; r != nil {
		if r.listed {
			l.s.recordAtWork(r, r.listedAt)
		}
		delete(l.s.runs, key)
		delete(l.runs, key)
		l.offerChanged = true
	}
}

// runStanding reports whether a run is still committed, and whether it may still be started.
func (s *session) runStanding(r *run) (committed, startable bool) {
	s.Table.View(func(t *workflow.Tables) {
		w := r.task.Worker
		committed = w != nil && r.task.Run == r.number && w.GetId() == r.worker.GetId() && w.GetBorn() == r.worker.GetBorn()
		startable = committed && r.task.Step.Job.Open() && !w.GetLeaving() && !t.Out[w.GetDomain()]
	})
	return committed, startable
}

func (s *session) setPhase(r *run, p phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.phase, r.phaseSince = p, s.SinceBoot()
}

// startStep is what has to be done next for a start.
type startStep int

const (
	sendStart     startStep = iota
	waitToStart             // it can't be sent now
	withdrawStart           // the run may no longer start
	finishStart             // the run has started or ended
)

// nextStartStep returns what has to be done next for a start, and the lease's deadline if that is to send it.
func (s *session) nextStartStep(r *run) (deadline int64, next startStep) {
	committed, startable := s.runStanding(r)
	switch {
	case !committed || s.isListed(r):
		return 0, finishStart
	case s.mayBeListed(r):
		return 0, waitToStart
	case !startable:
		return 0, withdrawStart
	}
	deadline, ok := r.link.leaseDeadline()
	if !ok {
		return 0, waitToStart
	}
	if !s.mayResend(r) {
		s.prepareResend(r) // takes a commit, after which all is checked again
		return 0, waitToStart
	}
	return deadline, sendStart
}

// startRun sends a start until it is answered or the run no longer needs to start.
func (s *session) startRun(r *run) {
	wait := minRetryDelay
	for try := 1; s.awaitMayCall(r.link.ctx); try++ {
		deadline, next := s.nextStartStep(r)
		switch next {
		case finishStart:
			return
		case withdrawStart:
			s.withdraw(r, try, "it may no longer start")
			return
		case waitToStart:
			s.pause(minRetryDelay)
			try--
			continue
		}
		r.order.DeadlineMS = deadline
		s.recordSent(r)
		ctx, cancel := context.WithTimeout(r.link.ctx, callTimeout)
		began := time.Now()
		answer, err := s.Calls.Start(ctx, r.link.currentWorker(), &r.order)
		observeSince(s.startCall, began)
		cancel()
		s.recordCalled(r, err)
		switch {
		case errors.Is(err, call.ErrOtherWorker):
			r.link.markReplaced()
			return
		case errors.Is(err, call.ErrRestarted):
			r.link.recordRestart(err)
			continue
		case err != nil:
			s.startsUnanswered.Inc()
			event.StartUnanswered.Error(err, "task", r.name.String(), "run", r.number, "worker", r.worker.GetId(), "born", r.worker.GetBorn(), "try", try)
			s.pause(wait)
			wait = min(2*wait, maxRetryDelay)
			continue
		case answer.Refusal == call.Accepted:
			if !s.confirmStart(r, answer.ClockMS) {
				continue
			}
			s.recordStarted(r, answer.ClockMS)
			return
		}
		s.startsRefused.Inc()
		event.StartRefused.Info("task", r.name.String(), "run", r.number, "worker", r.worker.GetId(), "refusal", answer.Refusal.String(), "try", try)
		if _, later := s.checkAnswer(r, answer.ClockMS); later && answer.Refusal == call.StaleRun {
			continue // the run has ended on the later incarnation, which lists it
		}
		if answer.Refusal != call.StaleFence {
			r.link.startCooldown(answer.Refusal)
			s.withdraw(r, try, answer.Refusal.String())
		}
		return
	}
}

func (s *session) recordStarted(r *run, clockMS int64) {
	event.RunStarted.Info("task", r.name.String(), "run", r.number, "worker", r.worker.GetId(), "born", r.worker.GetBorn(), "clock_ms", clockMS, "confirmed", s.isConfirmed(r), "fence", r.order.Fence.Token())
	s.started.Inc()
	s.recordBegun(r)
	s.setPhase(r, started)
	s.applyInitialPace(r)
	if committed, startable := s.runStanding(r); committed && !startable {
		s.stopByKey(r.runKey, "it may no longer run")
	}
}

func (s *session) recordSent(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.sentAt, r.calling = s.SinceBoot(), true
	r.link.recordGrant(r.sentAt)
	if r.lateCommitted {
		s.recordResent(r)
	}
}

// recordCalled records that the call of a start has ended, with an error if it was not answered.
func (s *session) recordCalled(r *run, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.calling = false
	if err != nil && !errors.Is(err, call.ErrNotSent) {
		r.unansweredAt = r.sentAt
	}
}

// isConfirmed reports whether the worker's incarnation is known to have answered the start of a run or to have listed it.
func (s *session) isConfirmed(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.confirmed
}

func (s *session) isListed(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.listed
}

// mayBeListed reports whether a run that an earlier leader may have started may still appear in the worker's first listing. Such a run may then continue.
func (s *session) mayBeListed(r *run) bool {
	open := false
	s.Table.View(func(*workflow.Tables) { open = r.task.Step.Job.Open() })
	s.mu.Lock()
	defer s.mu.Unlock()
	return open && r.adopted && !r.link.runsListed
}

// withdraw ends a run: directly if no start can have reached the worker, else by a stop.
func (s *session) withdraw(r *run, try int, reason string) {
	if try > 1 || r.adopted {
		s.stopRun(r, reason)
		return
	}
	s.endRun(r, reason)
}

// lostOutcome returns the outcome of a run whose end no worker lists. The caller holds the session's mutex.
func (r *run) lostOutcome() wire.RunOutcome {
	if r.begun {
		return wire.RunOutcome_RUN_OUTCOME_LAPSED
	}
	return wire.RunOutcome_RUN_OUTCOME_NOT_RUN
}

// endRun commits the end of a run that the worker does not list.
func (s *session) endRun(r *run, reason string) {
	s.mu.Lock()
	outcome, checkpoint := r.lostOutcome(), r.checkpoint
	s.mu.Unlock()
	event.RunTakenBack.Info("task", r.name.String(), "run", r.number, "worker", r.worker.GetId(), "born", r.worker.GetBorn(), "outcome", outcome.String(), "reason", reason)
	end := &wire.RunEnd{Task: r.name.Wire(), Run: r.number, Worker: r.worker.GetId(), Born: r.worker.GetBorn(), Outcome: outcome, Checkpoint: checkpoint}
	if s.commitEnds([]*wire.RunEnd{end}) {
		r.link.dropRun(r.runKey)
	}
}

// stopJob stops all runs of a job.
func (s *session) stopJob(j *workflow.Job) {
	var names []runKey
	s.Table.View(func(*workflow.Tables) {
		for _, step := range j.Steps {
			for _, t := range step.Tasks {
				if t.Worker != nil {
					names = append(names, runKey{t.Name(), t.Run})
				}
			}
		}
	})
	for _, key := range names {
		s.stopByKey(key, "its workflow has ended")
	}
}

// stopByKey starts stopping a run unless it is already being stopped. A run whose start is still in flight is stopped by startRun.
func (s *session) stopByKey(key runKey, reason string) {
	s.mu.Lock()
	r := s.runs[key]
	begin := r != nil && (r.phase == started || r.listed) && r.phase < stopping
	s.mu.Unlock()
	if begin {
		s.tasks.Go(func() { s.stopRun(r, reason) })
	}
}

// stopRun sends a stop until it is answered. The worker then lists the end, or the run is barred from starting.
func (s *session) stopRun(r *run, reason string) {
	s.mu.Lock()
	if r.phase >= stopping {
		s.mu.Unlock()
		return
	}
	r.phase, r.phaseSince = stopping, s.SinceBoot()
	s.mu.Unlock()
	s.stopsBegun.Inc()
	event.RunStopping.Info("task", r.name.String(), "run", r.number, "worker", r.worker.GetId(), "reason", reason)
	committed := func() bool {
		committed, _ := s.runStanding(r)
		return committed
	}
	if s.sendStop(r.link, r.runKey, committed) {
		s.setPhase(r, stopped)
	}
}

// sendStop sends a stop until it is answered, and reports whether the worker accepted it.
func (s *session) sendStop(l *link, key runKey, wanted func() bool) bool {
	wait := minRetryDelay
	for s.awaitMayCall(l.ctx) && wanted() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		answer, err := s.Calls.Stop(ctx, l.currentWorker(), &call.Stop{Task: key.name, Run: key.number, Fence: l.fence})
		cancel()
		switch {
		case errors.Is(err, call.ErrOtherWorker) && !l.mayHaveMoved():
			l.markReplaced()
			return false
		case errors.Is(err, call.ErrRestarted):
			l.recordRestart(err)
			return false
		case err == nil && answer.Refusal == call.Accepted:
			return true
		case err == nil && answer.Refusal == call.StaleFence:
			return false
		}
		event.StopUnanswered.Error(err, "task", key.name.String(), "run", key.number, "worker", l.id)
		s.pause(wait)
		wait = min(2*wait, maxRetryDelay)
	}
	return false
}
