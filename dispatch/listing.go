package dispatch

import (
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// stopTime is how long a worker may take to stop a run before it is told again; the platform's pages allow 900 ms.
const stopTime = 1500 * time.Millisecond

// take works through a worker's answer to a hold that was sent at the given time.
func (l *link) take(sent time.Duration, listing *call.Listing) {
	listed := map[runKey]struct{}{}
	for i := range listing.Running {
		key := runKey{listing.Running[i].Task, listing.Running[i].Run}
		listed[key] = struct{}{}
		l.running(key, &listing.Running[i])
	}
	for _, e := range listing.Ended {
		listed[runKey{e.Task, e.Run}] = struct{}{}
	}
	l.readTails(listing)
	l.setListed()
	l.ended(listing.Ended)
	l.missing(sent, listed)
}

func (l *link) setListed() {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	l.listed = true
}

// running notes a run that goes on, and stops one that is committed to nobody.
func (l *link) running(key runKey, listed *call.Running) {
	s := l.s
	now := s.Boot()
	s.mu.Lock()
	r := l.runs[key]
	if r != nil {
		r.note(now, listed)
	}
	again := r != nil && r.phase == stopped && now-r.since > stopTime
	s.mu.Unlock()
	switch {
	case r == nil:
		l.stopStray(key)
	case again:
		s.setPhase(r, started)
		s.stopKey(key, "it goes on after it was stopped")
	default:
		l.stopIfUnwanted(r)
	}
}

// note keeps what the worker says of a run; the session's mutex is held.
func (r *run) note(now time.Duration, listed *call.Running) {
	if !r.listed {
		r.listed, r.beganAt, r.percentAt = true, now, now
	}
	r.listedAt = now
	if r.phase == starting {
		r.phase, r.since = started, now
	}
	if listed.Percent != r.percent {
		r.percent, r.percentAt = listed.Percent, now
	}
	if listed.Checkpoint != "" {
		r.checkpoint = listed.Checkpoint
	}
}

// stopStray stops a run that the state does not commit to this worker.
func (l *link) stopStray(key runKey) {
	s := l.s
	committed := false
	s.Table.View(func(t *workflow.Tables) {
		task := t.Task(key.name)
		committed = task != nil && task.Worker != nil && task.Worker.GetId() == l.id && task.Run == key.number
	})
	l.mu.Lock()
	_, known := l.strays[key]
	if !committed && !known {
		l.strays[key] = struct{}{}
	}
	l.mu.Unlock()
	if committed || known {
		return
	}
	event.StrayRun.Info("task", key.name.String(), "run", key.number, "worker", l.id)
	s.tasks.Go(func() {
		s.sendStop(l, key, func() bool { return true })
		s.pause(stopTime)
		l.mu.Lock()
		delete(l.strays, key)
		l.mu.Unlock()
	})
}

// stopIfUnwanted stops a run of a job that has ended.
func (l *link) stopIfUnwanted(r *run) {
	open := true
	l.s.Table.View(func(*workflow.Tables) { open = r.task.Step.Job.Open() })
	if !open {
		l.s.stopKey(r.runKey, "its workflow has ended")
	}
}

// ended commits the ends that the state does not hold yet.
func (l *link) ended(ended []call.Ended) {
	s := l.s
	if len(ended) == 0 {
		return
	}
	born := l.current().GetBorn()
	ends := make([]*wire.RunEnd, 0, len(ended))
	for _, e := range ended {
		event.RunEnded.Info("task", e.Task.String(), "run", e.Run, "worker", l.id, "number", e.Number, "outcome", e.Outcome.String())
		ends = append(ends, &wire.RunEnd{Task: e.Task.Wire(), Run: e.Run, Worker: l.id, Born: born, Number: e.Number, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
		s.ends[e.Outcome].Inc()
		l.judge(&e)
	}
	if !s.commitEnds(ends) {
		return
	}
	for _, e := range ended {
		s.forget(runKey{e.Task, e.Run})
	}
}

// missing deals with runs that a worker ought to list and does not: one that was stopped first is barred, so that it has surely ended.
func (l *link) missing(sent time.Duration, listed map[runKey]struct{}) {
	s := l.s
	var over, lost []*run
	s.mu.Lock()
	for key, r := range l.runs {
		if _, ok := listed[key]; ok || r.since > sent {
			continue
		}
		switch r.phase {
		case stopped:
			over = append(over, r)
		case started:
			lost = append(lost, r)
		}
	}
	s.mu.Unlock()
	for _, r := range over {
		outcome := wire.RunOutcome_RUN_OUTCOME_NOT_RUN
		if s.isListed(r) {
			outcome = wire.RunOutcome_RUN_OUTCOME_LAPSED
		}
		s.endRun(r, outcome, "it was stopped and is not listed")
	}
	for _, r := range lost {
		s.tasks.Go(func() { s.stop(r, "the worker does not list it") })
	}
}
