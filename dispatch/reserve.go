package dispatch

import (
	"time"

	"daisyswitch/lookahead"
	"daisyswitch/resource"
	"daisyswitch/workflow"
)

// minReserveGain is by how much earlier another worker has to have room for the one kept so far to be given up, since predictions change with each listing.
const minReserveGain = 300 * time.Millisecond

// reserve keeps room for a lasting task on the worker that will likely have enough first, as the short tasks there end. Other lasting tasks may take what is free of it. It returns that worker, or nil if there is none.
func (r *round) reserve(task *workflow.Task) *candidate {
	var best *candidate
	var rated time.Duration
	size := resource.FromWire(task.Step.Spec.GetSize())
	for _, c := range r.pools[task.Step.Job.Queue.GetPool()] {
		if !size.Fits(c.soonFree()) || !r.isEligible(task.Step, c) {
			continue
		}
		f, ok := lookahead.Predict(c.free.Sub(c.withheld.released), r.runEndsOn(c), size)
		if !ok {
			continue
		}
		rating := f.In
		if r.s.keptOn[task] == c.Worker {
			rating -= minReserveGain
		}
		if best == nil || rating < rated || rating == rated && c.free.MilliCPU > best.free.MilliCPU {
			best, rated = c, rating
		}
	}
	if best == nil {
		return nil
	}
	best.free, best.kept, best.roomTaken = best.free.Sub(size), best.kept.Add(size), true
	if r.keptOn == nil {
		r.keptOn = map[*workflow.Task]*workflow.Worker{}
	}
	r.keptOn[task] = best.Worker
	return best
}

// runEndsOn predicts when the short tasks of a candidate end.
func (r *round) runEndsOn(c *candidate) []lookahead.Release {
	if ends, known := r.runEnds[c]; known {
		return ends
	}
	now := r.s.SinceBoot()
	var ends []lookahead.Release
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for task := range c.Tasks {
		spec := task.Step.Spec
		if spec.GetLasting() || spec.GetFilling() {
			continue
		}
		in := r.s.usualDuration(task.Step.Job.Place())
		if run := r.s.runs[runKey{task.Name(), task.Run}]; run != nil {
			in = run.remaining(now, in)
		}
		ends = append(ends, lookahead.Release{In: in, Size: resource.FromWire(spec.GetSize())})
	}
	if r.runEnds == nil {
		r.runEnds = map[*candidate][]lookahead.Release{}
	}
	r.runEnds[c] = ends
	return ends
}

// remaining predicts how much longer a run goes on: from its progress between listings, or else from the usual duration of such runs. The caller holds the session's mutex.
func (r *run) remaining(now, usual time.Duration) time.Duration {
	if !r.listed {
		return usual
	}
	if progress := r.percent - r.firstPercent; progress > 0 {
		left := (r.progressAt - r.firstListedAt) / time.Duration(progress) * time.Duration(100-r.percent)
		return max(0, left-(now-r.progressAt))
	}
	elapsed := now - r.firstListedAt
	return max(usual-elapsed, elapsed)
}

// usualDuration returns the mean run time of a queue's tasks, or 0 if it is not known. The caller holds the session's mutex.
func (s *session) usualDuration(queue workflow.Place) time.Duration {
	if p := s.taskDuration[queue]; p != nil && p.count >= minDurationSamples {
		return p.mean
	}
	return 0
}
