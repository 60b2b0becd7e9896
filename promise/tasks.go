package promise

import (
	"fmt"
	"math"

	"daisyswitch/standin"
)

const (
	startBoundUS = 3 * secondUS // time after a domain is taken out in which starts are still allowed
	thawUS       = secondUS     // time for a thawed worker to detect that its lease expired while it was frozen
)

// taskKey identifies a task across its attempts.
type taskKey struct {
	job   string
	index int32
}

// run is one attempt on a worker, from its start to its end.
type run struct {
	start          standin.TaskEffect
	end            standin.TaskEffect // its kind is empty while the attempt runs
	effectiveEndUS int64              // microseconds; math.MaxInt64 while it runs
	endRecordedUS  int64              // when control notified the worker that it has recorded the end; math.MaxInt64 if never
}

func (r run) String() string {
	return fmt.Sprintf("%s/%d attempt %d on %s", r.start.Job, r.start.Index, r.start.Attempt, r.start.Worker)
}

func isStart(e standin.TaskEffect) bool {
	return e.Kind == standin.TaskStarted || e.Kind == standin.TaskResumed
}

// runs returns the attempts of each task in order of start.
func (r *Records) runs() map[taskKey][]*run {
	all := map[taskKey][]*run{}
	open := map[string][]*run{} // by worker
	for _, e := range r.Tasks {
		switch {
		case e.Kind == standin.TaskBooted:
			for _, gone := range open[e.Worker] {
				gone.effectiveEndUS = min(gone.effectiveEndUS, e.TimeUS)
			}
			delete(open, e.Worker)
		case isStart(e):
			started := &run{start: e, effectiveEndUS: r.killedAt(e.Worker, e.TimeUS), endRecordedUS: math.MaxInt64}
			key := taskKey{e.Job, e.Index}
			all[key] = append(all[key], started)
			open[e.Worker] = append(open[e.Worker], started)
		default:
			r.closeRun(open[e.Worker], e)
		}
	}
	return all
}

// killedAt returns the time of the first kill of a worker at or after a time, or math.MaxInt64 if there is none.
func (r *Records) killedAt(worker string, after int64) int64 {
	if at, killed := r.firstEvent(standin.Killed, worker, after); killed {
		return at
	}
	return math.MaxInt64
}

// closeRun records the end of the latest run of e's attempt, or that control has recorded its end.
func (r *Records) closeRun(open []*run, e standin.TaskEffect) {
	for i := len(open) - 1; i >= 0; i-- {
		s := open[i].start
		if s.Job != e.Job || s.Index != e.Index || s.Attempt != e.Attempt {
			continue
		}
		if e.Kind == standin.TaskForgotten {
			open[i].endRecordedUS = min(open[i].endRecordedUS, e.TimeUS)
			return
		}
		if open[i].end.Kind == "" {
			open[i].end = e
			open[i].effectiveEndUS = r.effectiveEnd(e)
			return
		}
	}
}

// effectiveEnd returns the time after which an attempt had no more effect. If its lease expired while the worker was frozen, that is the time of the freeze.
func (r *Records) effectiveEnd(e standin.TaskEffect) int64 {
	if e.Reason != standin.ReasonLeaseEnd {
		return e.TimeUS
	}
	for _, h := range r.eventsOfKind(standin.Frozen) {
		thawed, on := r.firstEvent(standin.Thawed, h.Name, h.TimeUS)
		if h.Name == e.Worker && on && thawed <= e.TimeUS && e.TimeUS <= thawed+thawUS {
			return h.TimeUS
		}
	}
	return e.TimeUS
}

func capacity(r *Records, result *Result) {
	for _, e := range r.Tasks {
		if !isStart(e) {
			continue
		}
		result.Observed++
		if !e.Committed.Fits(e.Capacity) {
			result.addViolation("%s holds %+v of %+v after the start of %s/%d", e.Worker, e.Committed, e.Capacity, e.Job, e.Index)
		}
	}
}

func singleRun(r *Records, result *Result) {
	for _, runs := range r.runs() {
		var last *run
		for _, next := range runs {
			result.Observed++
			if last != nil && next.start.TimeUS < last.effectiveEndUS {
				result.addViolation("%s began while %s was running", next, last)
			}
			if last == nil || next.effectiveEndUS > last.effectiveEndUS {
				last = next
			}
		}
	}
}

// resumes checks that evicted work resumes exactly once. It also checks that an attempt starts once, that attempt numbers increase and that no task starts again after it is done.
func resumes(r *Records, result *Result) {
	cancelled := map[string]bool{}
	for _, h := range r.eventsOfKind(standin.JobCancelled) {
		cancelled[h.Name] = true
	}
	finished := len(r.eventsOfKind(standin.Finished)) > 0
	for key, runs := range r.runs() {
		for i, attempt := range runs {
			interrupted := attempt.end.Kind == standin.TaskStopped && !attempt.start.Service
			if interrupted && !cancelled[key.job] {
				result.Observed++
			}
			if i+1 < len(runs) {
				r.checkSuccessor(attempt, runs[i+1], result)
			} else if interrupted && finished && !cancelled[key.job] {
				result.addViolation("%s was stopped (%s) and never resumed", attempt, attempt.end.Reason)
			}
		}
	}
}

// checkSuccessor checks an attempt of a task against the preceding one. An end that the worker could not report doesn't count as known to control.
func (r *Records) checkSuccessor(before, next *run, result *Result) {
	reported := before.endRecordedUS < next.start.TimeUS || !r.unreachable(before, next)
	switch {
	case next.start.Attempt <= before.start.Attempt:
		result.addViolation("%s began after %s", next, before)
	case before.end.Reason == standin.ReasonDone && reported:
		result.addViolation("%s began after %s was done", next, before)
	case before.end.Kind != standin.TaskStopped || before.start.Service:
	case next.start.Checkpoint > before.end.Checkpoint,
		before.end.Reason == standin.ReasonEvicted && reported && next.start.Checkpoint != before.end.Checkpoint:
		result.addViolation("%s resumed from checkpoint %d, %s stopped at %d", next, next.start.Checkpoint, before, before.end.Checkpoint)
	}
}

// unreachable reports whether the worker was cut off when the attempt ended, or killed before the next attempt started.
func (r *Records) unreachable(before, next *run) bool {
	worker := before.start.Worker
	return r.cutOff(worker, before.effectiveEndUS) || r.killedAt(worker, before.effectiveEndUS) < next.start.TimeUS
}

func domainOut(r *Records, result *Result) {
	for _, out := range r.eventsOfKind(standin.DomainOut) {
		from, to := out.TimeUS+startBoundUS, int64(math.MaxInt64)
		for _, in := range r.eventsOfKind(standin.DomainIn) {
			if in.Domain == out.Domain && in.TimeUS > out.TimeUS {
				to = min(to, in.TimeUS)
			}
		}
		for _, e := range r.Tasks {
			if !isStart(e) || e.TimeUS <= from || e.TimeUS >= to {
				continue
			}
			result.Observed++
			if e.Domain == out.Domain {
				result.addViolation("%s/%d started on %s %d ms after %s was taken out", e.Job, e.Index, e.Worker, (e.TimeUS-out.TimeUS)/1000, e.Domain)
			}
		}
	}
}
