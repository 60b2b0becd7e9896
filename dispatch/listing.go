package dispatch

import (
	"slices"
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// stopTimeout is how long a worker may take to stop a run before the stop is sent again; the platform's documentation allows 900 ms.
const stopTimeout = 1500 * time.Millisecond

// maxCheckpointBytes is the longest checkpoint that is kept; a task with a longer one starts from its beginning.
const maxCheckpointBytes = 16 << 10

// dropLongCheckpoints removes the checkpoints that are too long to be kept.
func (l *link) dropLongCheckpoints(listing *call.Listing) {
	longest := 0
	drop := func(checkpoint *string) {
		if len(*checkpoint) > maxCheckpointBytes {
			longest, *checkpoint = max(longest, len(*checkpoint)), ""
		}
	}
	for i := range listing.Running {
		drop(&listing.Running[i].Checkpoint)
	}
	for i := range listing.Ended {
		drop(&listing.Ended[i].Checkpoint)
	}
	if longest > 0 && !l.longCheckpoints {
		event.CheckpointsDropped.Info("worker", l.id, "longest_bytes", longest, "allowed_bytes", maxCheckpointBytes)
	}
	l.longCheckpoints = longest > 0
}

// processListing processes a worker's answer to a hold that was sent at the given time. departing says that the hold was sent after the worker's departure.
func (l *link) processListing(sent time.Duration, listing *call.Listing, departing bool) {
	l.listings <- struct{}{}
	defer func() { <-l.listings }()
	l.dropLongCheckpoints(listing)
	listed := map[runKey]struct{}{}
	strays := false
	for i := range listing.Running {
		key := runKey{listing.Running[i].Task, listing.Running[i].Run}
		listed[key] = struct{}{}
		strays = l.processRunning(key, &listing.Running[i]) || strays
	}
	l.setListsStrays(strays)
	for _, e := range listing.Ended {
		listed[runKey{e.Task, e.Run}] = struct{}{}
	}
	l.processFigures(listing)
	l.setRunsListed()
	l.ended(listing.Ended)
	switch {
	case listing.MoreEnds:
	case departing:
		l.endMissing(sent, listed)
		l.setDepartListed()
	default:
		l.processMissing(sent, listed)
	}
}

func (l *link) setRunsListed() {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	l.runsListed = true
}

func (l *link) setListsStrays(strays bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listsStrays = strays
}

// processRunning updates a listed run, and stops one that is not known on this worker or whose workflow has ended. It reports whether the run is not committed to the worker.
func (l *link) processRunning(key runKey, listed *call.Running) (stray bool) {
	s := l.s
	now := s.SinceBoot()
	s.mu.Lock()
	r := l.runs[key]
	former := false
	if r != nil {
		former = r.former && !r.listed
		r.update(now, listed)
		s.noteBegun(r)
	}
	again := r != nil && r.phase == stopped && now-r.phaseSince > stopTimeout
	s.mu.Unlock()
	if former {
		l.recordFormerOrder(key, "running")
	}
	switch {
	case r == nil:
		return l.stopStray(key)
	case again:
		s.setPhase(r, started)
		s.stopByKey(key, "it still runs after it was stopped")
	default:
		l.stopIfUnwanted(r)
	}
	return false
}

// update applies what the worker reports about a run. The caller holds the session's mutex.
func (r *run) update(now time.Duration, listed *call.Running) {
	if !r.listed {
		r.listed, r.confirmed, r.firstListedAt, r.progressAt = true, true, now, now
		r.firstPercent = listed.ProgressPercent
	}
	r.listedAt = now
	if r.phase == starting {
		r.phase, r.phaseSince = started, now
	}
	if listed.ProgressPercent != r.percent {
		r.percent, r.progressAt = listed.ProgressPercent, now
	}
	if listed.Checkpoint != "" {
		r.checkpoint = listed.Checkpoint
	}
}

// stopStray stops a run unless the state commits it to this worker, and reports whether it is a stray one.
func (l *link) stopStray(key runKey) (stray bool) {
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
		return !committed
	}
	event.StrayRun.Info("task", key.name.String(), "run", key.number, "worker", l.id)
	s.tasks.Go(func() {
		s.sendStop(l, key, func() bool { return true })
		s.pause(stopTimeout)
		l.mu.Lock()
		delete(l.strays, key)
		l.mu.Unlock()
	})
	return true
}

// stopIfUnwanted stops a run whose workflow has ended.
func (l *link) stopIfUnwanted(r *run) {
	open := true
	l.s.Table.View(func(*workflow.Tables) { open = r.task.Step.Job.Open() })
	if !open {
		l.s.stopByKey(r.runKey, "its workflow has ended")
	}
}

// newEnds returns the listed ends that are not committed yet. Two holds in progress may list the same end, and a worker lists its ends again until they are acknowledged.
func (l *link) newEnds(listed []call.Ended) []call.Ended {
	l.mu.Lock()
	committed := l.committedEnds
	l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(listed), func(e call.Ended) bool { return 0 < e.Number && e.Number <= committed })
}

// ended commits the ends that the worker lists.
func (l *link) ended(listed []call.Ended) {
	s := l.s
	ended := l.newEnds(listed)
	if len(ended) == 0 {
		return
	}
	l.deferAcknowledgements(ended)
	born, acknowledged := l.currentWorker().GetBorn(), l.lastAcknowledged()
	runEnds := make([]*wire.RunEnd, 0, len(ended))
	for _, e := range ended {
		if l.isUnlistedFormer(runKey{e.Task, e.Run}) {
			l.recordFormerOrder(runKey{e.Task, e.Run}, "ended")
		}
		event.RunEnded.Info("task", e.Task.String(), "run", e.Run, "worker", l.id, "born", born, "number", e.Number, "outcome", e.Outcome.String(), "gang", s.isInGang(e.Task))
		runEnds = append(runEnds, &wire.RunEnd{Task: e.Task.Wire(), Run: e.Run, Worker: l.id, Born: born, Number: e.Number, Outcome: e.Outcome, Checkpoint: e.Checkpoint, Acknowledged: acknowledged})
		s.runEnds[e.Outcome].Inc()
		l.recordOutcome(&e)
	}
	if !s.commitEnds(runEnds) {
		return
	}
	for _, e := range ended {
		l.dropRun(runKey{e.Task, e.Run})
	}
	l.recordCommittedEnds(ended)
}

// isInGang reports whether a task is a member of a gang, all of whose members are released and taken as done with the first that is done.
func (s *session) isInGang(name workflow.Name) bool {
	gang := false
	s.Table.View(func(t *workflow.Tables) {
		task := t.Task(name)
		gang = task != nil && task.Step.Spec.GetGang()
	})
	return gang
}

func (l *link) setDepartListed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departListed = true
}

// processMissing handles runs that a worker should list and does not; the listing has to be complete. A stopped run is committed as ended, since the stop bars it from starting later. Any other is stopped first.
func (l *link) processMissing(sent time.Duration, listed map[runKey]struct{}) {
	s := l.s
	var over, lost []*run
	s.mu.Lock()
	for key, r := range l.runs {
		if _, ok := listed[key]; ok || r.phaseSince > sent {
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
		if !s.mayStartLate(r) {
			s.endRun(r, "it was stopped and the worker does not list it")
		}
	}
	for _, r := range lost {
		s.tasks.Go(func() { s.stopRun(r, "the worker does not list it") })
	}
}
