package promise

import (
	"math"
	"strings"

	"daisyswitch/standin"
	"daisyswitch/verdict"
)

const leaveBoundMS = 3000 // after an entry accepted the leave announcement

func wholeAnswers(r *Records, result *Result) {
	for _, t := range r.Told {
		switch t.Outcome {
		case standin.OutcomeOK:
			result.Observed++
		case standin.OutcomeWrong:
			result.addViolation("%s through %s: %s", t.RequestID, t.Entry, t.Reason)
		case standin.OutcomeHung:
			result.addViolation("%s through %s: no answer by its deadline and a grace", t.RequestID, t.Entry)
		}
	}
}

func notRun(r *Records, result *Result) {
	ran := r.ran()
	for _, t := range r.Told {
		refused := t.Outcome == standin.OutcomeVerdict && t.Verdict == verdict.NotRun.String()
		if !refused && t.Outcome != standin.OutcomeRefused {
			continue
		}
		result.Observed++
		if ran[t.RequestID] > 0 {
			result.addViolation("%s was told not-run (%s) by %s, and ran", t.RequestID, t.Reason, t.Entry)
		}
	}
	runs := r.runs()
	for _, h := range r.eventsOfKind(standin.TaskNotRun) {
		result.Observed++
		if started := runs[taskKey{h.Name, h.Index}]; len(started) > 0 {
			result.addViolation("%s/%d was said not to have run; %s did", h.Name, h.Index, started[0])
		}
	}
}

func atMostOnce(r *Records, result *Result) {
	ran := r.ran()
	for _, t := range r.Told {
		if t.Idempotent || ran[t.RequestID] == 0 {
			continue
		}
		result.Observed++
		if ran[t.RequestID] > 1 {
			result.addViolation("%s ran %d times", t.RequestID, ran[t.RequestID])
		}
	}
}

// leaving checks that no upstream receives requests after leaveBoundMS. An upstream counts as observed if it ran longer than that after it began to leave.
func leaving(r *Records, result *Result) {
	began := map[string]int64{}
	for _, e := range r.Requests {
		switch {
		case e.Kind == standin.UpstreamLeaving:
			began[e.Upstream] = e.TimeUS
		case e.Kind == standin.UpstreamStopped:
			if at, known := began[e.Upstream]; known && e.TimeUS-at > leaveBoundMS*1000 {
				result.Observed++
			}
		case e.LeavingMS > leaveBoundMS:
			result.addViolation("%s was given %s %d ms after it left", e.Upstream, e.RequestID, e.LeavingMS)
		}
	}
}

// failedVisibly reports whether a request failed visibly or its outcome is unknown.
func failedVisibly(t standin.Told) bool {
	switch t.Outcome {
	case standin.OutcomeBroken, standin.OutcomeHung:
		return true
	case standin.OutcomeVerdict:
		return t.Verdict == verdict.Unknown.String()
	default:
		return false
	}
}

// plannedStop checks every request that was in progress at a stopping process at some time during its planned stop.
func plannedStop(r *Records, result *Result) {
	for _, began := range r.eventsOfKind(standin.StopBegan) {
		ended, gone := r.firstEvent(standin.StopEnded, began.Name, began.TimeUS)
		if !gone {
			ended = math.MaxInt64
			result.addViolation("%s did not end its planned stop", began.Name)
		}
		through := r.through(began, ended)
		for _, t := range r.Told {
			if t.DoneUS < began.TimeUS || t.SentUS > ended || !through(t) {
				continue
			}
			result.Observed++
			if failedVisibly(t) && !r.killedUnder(t) {
				result.addViolation("%s was cut (%s %s) during the stop of %s: %s", t.RequestID, t.Outcome, t.Verdict, began.Name, t.Reason)
			}
		}
	}
	for _, h := range r.eventsOfKind(standin.StopEnded) {
		if h.Code != 0 {
			result.addViolation("%s ended its planned stop with code %d", h.Name, h.Code)
		}
	}
}

// through returns a predicate that reports whether a request passed through the stopping process. An entry is identified by its address for callers, an upstream by the requests in its journal.
func (r *Records) through(stop standin.RunEvent, ended int64) func(standin.Told) bool {
	if stop.Address != "" {
		return func(t standin.Told) bool { return t.Entry == stop.Address }
	}
	served := map[string]bool{}
	for _, e := range r.Requests {
		if strings.HasPrefix(e.Upstream, stop.Name+".") && e.TimeUS <= ended {
			served[e.RequestID] = true
		}
	}
	return func(t standin.Told) bool { return served[t.RequestID] }
}

// killedUnder reports whether the entry that received the request was killed before it responded.
func (r *Records) killedUnder(t standin.Told) bool {
	for _, h := range r.eventsOfKind(standin.Killed) {
		if h.Address == t.Entry && h.TimeUS <= t.DoneUS {
			return true
		}
	}
	return false
}
