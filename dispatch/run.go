package dispatch

import (
	"context"
	"errors"
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// runKey names one run of a task.
type runKey struct {
	name   workflow.Name
	number int32
}

// phase is how far a run has come, as this leader knows.
type phase int

const (
	starting phase = iota // the start is sent until it is answered
	started               // the worker answered the start or lists the run
	stopping              // the stop is sent until it is answered
	stopped               // the worker answered the stop; the run ends, or never begins
)

// run is one run that is committed to a worker; the session's mutex guards its variable part.
type run struct {
	runKey
	task    *workflow.Task
	link    *link
	worker  *wire.CalledWorker
	order   call.Start
	adopted bool // committed by an earlier leader, which may have sent its start

	phase      phase
	since      time.Duration // boot clock, of the phase
	listed     bool          // the worker has listed it as running
	checkpoint string
	percent    int
	percentAt  time.Duration // boot clock, when percent or the pace last changed
	listedAt   time.Duration // boot clock, when the worker last listed it
	beganAt    time.Duration // boot clock, when it was first listed

	image    int           // its number in costs
	pace     int           // percent of its speed at which it works
	pacedAt  time.Duration // boot clock, of the last order on its pace
	paceBusy bool          // an order on its pace is on its way
	share    float64       // of the worker's processors that it used lately
}

// track begins to send a committed start; adopted says that an earlier leader may have sent it.
func (s *session) track(t *workflow.Task, adopted bool) {
	var r *run
	s.Table.View(func(*workflow.Tables) {
		if t.Worker != nil {
			r = &run{
				runKey: runKey{t.Name(), t.Run}, task: t, worker: t.Worker.CalledWorker, adopted: adopted,
				order: call.Start{Task: t.Name(), Run: t.Run, Payload: t.Step.Job.Spec.GetPayload(), Fence: s.fence, Checkpoint: t.Checkpoint, Ticket: t.Ticket},
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
		r.link, r.since, r.checkpoint = l, s.Boot(), r.order.Checkpoint
		r.image, r.pace = s.imageNumber(t.Step.Spec.GetImage()), 100
		s.runs[r.runKey] = r
		l.runs[r.runKey], l.revised = r, true
	}
	s.mu.Unlock()
	if l != nil && !known {
		s.tasks.Go(func() { s.start(r) })
	}
}

// forget drops a run that has ended.
func (s *session) forget(key runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[key]; r != nil {
		delete(s.runs, key)
		delete(r.link.runs, key)
		r.link.revised = true
	}
}

// standing says of a run whether it is still committed, and whether it may still be started.
func (s *session) standing(r *run) (committed, startable bool) {
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
	r.phase, r.since = p, s.Boot()
}

// start sends a start until it is answered, or the run need not start any more.
func (s *session) start(r *run) {
	wait := retryFirst
	for try := 1; s.awaitLive(r.link.ctx); try++ {
		committed, startable := s.standing(r)
		if !committed || s.isListed(r) {
			return
		}
		if !startable && s.mayBeListed(r) {
			s.pause(retryFirst)
			try--
			continue
		}
		if !startable {
			s.withdraw(r, try, "it may not start any more")
			return
		}
		deadline, ok := r.link.granted()
		if !ok {
			s.pause(retryFirst)
			try--
			continue
		}
		r.order.DeadlineMS = deadline
		ctx, cancel := context.WithTimeout(s.ctx, callTime)
		began := time.Now()
		answer, err := s.Calls.Start(ctx, r.link.current(), &r.order)
		since(s.startCall, began)
		cancel()
		switch {
		case errors.Is(err, call.ErrOtherLife):
			s.stopInOtherLife(r)
			r.link.otherLife()
			return
		case err != nil:
			s.unanswered.Inc()
			event.StartUnanswered.Error(err, "task", r.name.String(), "run", r.number, "worker", r.worker.GetId(), "try", try)
			s.pause(wait)
			wait = min(2*wait, retryMost)
			continue
		case answer.Refusal == call.Accepted:
			event.RunStarted.Info("task", r.name.String(), "run", r.number, "worker", r.worker.GetId(), "fence", s.fence)
			s.started.Inc()
			s.setPhase(r, started)
			s.paceFirst(r)
			if committed, startable := s.standing(r); committed && !startable {
				s.stopKey(r.runKey, "it may not run any more")
			}
			return
		}
		s.refused.Inc()
		event.StartRefused.Info("task", r.name.String(), "run", r.number, "worker", r.worker.GetId(), "refusal", answer.Refusal.String(), "try", try)
		if answer.Refusal != call.Deposed {
			r.link.cool(answer.Refusal)
			s.withdraw(r, try, answer.Refusal.String())
		}
		return
	}
}

// stopInOtherLife stops a run that a later life at the worker's address may have begun, before its room and name are used anew.
func (s *session) stopInOtherLife(r *run) {
	ctx, cancel := context.WithTimeout(s.ctx, callTime)
	defer cancel()
	_, err := s.Calls.Stop(ctx, r.link.current(), &call.Stop{Task: r.name, Run: r.number, Fence: s.fence})
	event.RunStopping.Info("task", r.name.String(), "run", r.number, "worker", r.worker.GetId(), "reason", "another life answered its start", "answer", err)
}

func (s *session) isListed(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.listed
}

// mayBeListed says whether a run that an earlier leader may have begun can still turn out to go on, which it then may.
func (s *session) mayBeListed(r *run) bool {
	open := false
	s.Table.View(func(*workflow.Tables) { open = r.task.Step.Job.Open() })
	s.mu.Lock()
	defer s.mu.Unlock()
	return open && r.adopted && !r.link.listed
}

// withdraw takes a run back: at once if no order can have reached the worker, else by a stop.
func (s *session) withdraw(r *run, try int, reason string) {
	if try > 1 || r.adopted {
		s.stop(r, reason)
		return
	}
	s.endRun(r, wire.RunOutcome_RUN_OUTCOME_NOT_RUN, reason)
}

// endRun commits the end of a run that the worker does not list.
func (s *session) endRun(r *run, outcome wire.RunOutcome, reason string) {
	event.RunTakenBack.Info("task", r.name.String(), "run", r.number, "worker", r.worker.GetId(), "outcome", outcome.String(), "reason", reason)
	end := &wire.RunEnd{Task: r.name.Wire(), Run: r.number, Worker: r.worker.GetId(), Born: r.worker.GetBorn(), Outcome: outcome, Checkpoint: r.checkpoint}
	if s.commitEnds([]*wire.RunEnd{end}) {
		s.forget(r.runKey)
	}
}

// stopJob stops all that runs of a job.
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
		s.stopKey(key, "its workflow has ended")
	}
}

// stopKey begins to stop a run unless that has begun; a start on its way ends in a stop by itself.
func (s *session) stopKey(key runKey, reason string) {
	s.mu.Lock()
	r := s.runs[key]
	begin := r != nil && (r.phase == started || r.listed) && r.phase < stopping
	s.mu.Unlock()
	if begin {
		s.tasks.Go(func() { s.stop(r, reason) })
	}
}

// stop sends a stop until it is answered; the end is then listed, or the run is barred.
func (s *session) stop(r *run, reason string) {
	s.mu.Lock()
	if r.phase >= stopping {
		s.mu.Unlock()
		return
	}
	r.phase, r.since = stopping, s.Boot()
	s.mu.Unlock()
	s.stops.Inc()
	event.RunStopping.Info("task", r.name.String(), "run", r.number, "worker", r.worker.GetId(), "reason", reason)
	committed := func() bool {
		committed, _ := s.standing(r)
		return committed
	}
	if s.sendStop(r.link, r.runKey, committed) {
		s.setPhase(r, stopped)
	}
}

// sendStop sends a stop until it is answered and returns whether it was.
func (s *session) sendStop(l *link, key runKey, wanted func() bool) bool {
	wait := retryFirst
	for s.awaitLive(l.ctx) && wanted() {
		ctx, cancel := context.WithTimeout(l.ctx, callTime)
		answer, err := s.Calls.Stop(ctx, l.current(), &call.Stop{Task: key.name, Run: key.number, Fence: s.fence})
		cancel()
		switch {
		case errors.Is(err, call.ErrOtherLife):
			l.otherLife()
			return false
		case err == nil && answer.Refusal == call.Accepted:
			return true
		case err == nil && answer.Refusal == call.Deposed:
			return false
		}
		event.StopUnanswered.Error(err, "task", key.name.String(), "run", key.number, "worker", l.id)
		s.pause(wait)
		wait = min(2*wait, retryMost)
	}
	return false
}
