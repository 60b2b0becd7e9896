package promise

import (
	"fmt"
	"math"

	"daisyswitch/standin"
)

const (
	startBoundUS = 3 * secondUS // after a domain was taken out
	thawUS       = secondUS     // for a worker to see that its lease ended while it was frozen
)

// taskKey names a task across its attempts.
type taskKey struct {
	job   string
	index int32
}

// run is one attempt on a worker, from its start to its end.
type run struct {
	start standin.TaskEffect
	end   standin.TaskEffect // its kind is empty while the attempt runs on
	until int64              // microseconds; the far future while it runs on
	known int64              // when control told the worker that it has recorded the end; the far future if never
}

func (r run) String() string {
	return fmt.Sprintf("%s/%d attempt %d on %s", r.start.Job, r.start.Index, r.start.Attempt, r.start.Worker)
}

func isStart(e standin.TaskEffect) bool {
	return e.Kind == standin.TaskStarted || e.Kind == standin.TaskResumed
}

// runs returns every attempt of each task in order of its start.
func (r *Records) runs() map[taskKey][]*run {
	all := map[taskKey][]*run{}
	open := map[string][]*run{} // by worker
	for _, e := range r.Tasks {
		switch {
		case e.Kind == standin.TaskBooted:
			for _, gone := range open[e.Worker] {
				gone.until = min(gone.until, e.TimeUS)
			}
			delete(open, e.Worker)
		case isStart(e):
			started := &run{start: e, until: r.diesAt(e.Worker, e.TimeUS), known: math.MaxInt64}
			key := taskKey{e.Job, e.Index}
			all[key] = append(all[key], started)
			open[e.Worker] = append(open[e.Worker], started)
		default:
			r.closeRun(open[e.Worker], e)
		}
	}
	return all
}

// diesAt returns when a worker is killed after a time, the far future if never.
func (r *Records) diesAt(worker string, after int64) int64 {
	if at, killed := r.first(standin.Killed, worker, after); killed {
		return at
	}
	return math.MaxInt64
}

// closeRun ends the latest run of the attempt that e is about, or notes that its end is known to control.
func (r *Records) closeRun(open []*run, e standin.TaskEffect) {
	for i := len(open) - 1; i >= 0; i-- {
		s := open[i].start
		if s.Job != e.Job || s.Index != e.Index || s.Attempt != e.Attempt {
			continue
		}
		if e.Kind == standin.TaskForgotten {
			open[i].known = min(open[i].known, e.TimeUS)
			return
		}
		if open[i].end.Kind == "" {
			open[i].end = e
			open[i].until = r.ranUntil(e)
			return
		}
	}
}

// ranUntil returns when an attempt really ended: one whose lease ended while its worker was frozen did nothing after that.
func (r *Records) ranUntil(e standin.TaskEffect) int64 {
	if e.Reason != standin.ReasonLeaseEnd {
		return e.TimeUS
	}
	for _, h := range r.named(standin.Frozen) {
		thawed, on := r.first(standin.Thawed, h.Name, h.TimeUS)
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
			result.violate("%s holds %+v of %+v after the start of %s/%d", e.Worker, e.Committed, e.Capacity, e.Job, e.Index)
		}
	}
}

func single(r *Records, result *Result) {
	for _, runs := range r.runs() {
		var last *run
		for _, next := range runs {
			result.Observed++
			if last != nil && next.start.TimeUS < last.until {
				result.violate("%s began while %s was running", next, last)
			}
			if last == nil || next.until > last.until {
				last = next
			}
		}
	}
}

// resumes also holds that an attempt starts once, that attempts grow, and that nothing starts again once done.
func resumes(r *Records, result *Result) {
	cancelled := map[string]bool{}
	for _, h := range r.named(standin.JobCancelled) {
		cancelled[h.Name] = true
	}
	finished := len(r.named(standin.Finished)) > 0
	for key, runs := range r.runs() {
		for i, attempt := range runs {
			interrupted := attempt.end.Kind == standin.TaskStopped && !attempt.start.Service
			if interrupted && !cancelled[key.job] {
				result.Observed++
			}
			if i+1 < len(runs) {
				r.follows(attempt, runs[i+1], result)
			} else if interrupted && finished && !cancelled[key.job] {
				result.violate("%s was stopped (%s) and never resumed", attempt, attempt.end.Reason)
			}
		}
	}
}

// follows holds the next attempt of a task against the one before it; an end that the worker could not report can't be held against control.
func (r *Records) follows(before, next *run, result *Result) {
	reported := before.known < next.start.TimeUS || !r.unreachable(before, next)
	switch {
	case next.start.Attempt <= before.start.Attempt:
		result.violate("%s began after %s", next, before)
	case before.end.Reason == standin.ReasonDone && reported:
		result.violate("%s began after %s was done", next, before)
	case before.end.Kind != standin.TaskStopped || before.start.Service:
	case next.start.Checkpoint > before.end.Checkpoint,
		before.end.Reason == standin.ReasonEvicted && reported && next.start.Checkpoint != before.end.Checkpoint:
		result.violate("%s resumed from checkpoint %d, %s stopped at %d", next, next.start.Checkpoint, before, before.end.Checkpoint)
	}
}

// unreachable reports whether the worker was cut off when the attempt ended, or killed before the next one started.
func (r *Records) unreachable(before, next *run) bool {
	worker := before.start.Worker
	return r.cutOff(worker, before.until) || r.diesAt(worker, before.until) < next.start.TimeUS
}

func domainOut(r *Records, result *Result) {
	for _, out := range r.named(standin.DomainOut) {
		from, to := out.TimeUS+startBoundUS, int64(math.MaxInt64)
		for _, in := range r.named(standin.DomainIn) {
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
				result.violate("%s/%d started on %s %d ms after %s was taken out", e.Job, e.Index, e.Worker, (e.TimeUS-out.TimeUS)/1000, e.Domain)
			}
		}
	}
}
