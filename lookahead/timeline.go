package lookahead

import (
	"cmp"
	"math"
	"slices"
	"time"

	"daisyswitch/resource"
)

// Probabilities at which run times are predicted.
const (
	releaseProbability = 0.75 // with which each run on a worker has ended by its predicted end; the tail of slow runs would put off every start by seconds
	borrowProbability  = 0.9  // with which a task that uses reserved capacity ends before the reservation starts
)

// Release is the predicted end of a run on a worker.
type Release struct {
	In   time.Duration // from now
	Size resource.Size
}

// ReleaseOf predicts the end of a run that has been going on for some time. It returns false if its end cannot be predicted.
func ReleaseOf(d *Distribution, elapsed time.Duration, size resource.Size) (Release, bool) {
	if !d.Known() {
		return Release{}, false
	}
	in, ok := d.Remaining(elapsed, releaseProbability)
	return Release{In: in, Size: size}, ok
}

// LikelyRun returns the time after which a task that starts now will likely have ended, so that it may use capacity that is reserved from then on; the longest duration if that is not known.
func LikelyRun(d *Distribution) time.Duration {
	if d.Known() {
		if end, ok := d.Remaining(0, borrowProbability); ok {
			return end
		}
	}
	return math.MaxInt64
}

// Forecast says when a worker will have capacity for a task, and what that takes.
type Forecast struct {
	In       time.Duration // from now
	Held     resource.Size // part of the task's size that has to be withheld of what is free now
	Released resource.Size // the rest, which runs release until then
	Idle     time.Duration // withheld processor time until then, as a multiple of the task's processors
}

// Predict returns when a worker with the given free capacity has capacity for a task of some size, given the ends of its runs. It returns false if it never does. It sorts releases.
func Predict(free resource.Size, releases []Release, size resource.Size) (Forecast, bool) {
	slices.SortFunc(releases, func(a, b Release) int { return cmp.Compare(a.In, b.In) })
	now, at, idle := free, time.Duration(0), 0.0
	for _, r := range releases {
		if size.Fits(free) {
			break
		}
		idle += float64(r.In-at) * float64(max(0, min(free.MilliCPU, size.MilliCPU)))
		free, at = free.Add(r.Size), r.In
	}
	if !size.Fits(free) {
		return Forecast{}, false
	}
	held := size.Sub(free.Sub(now)).Max(resource.Size{})
	return Forecast{In: at, Held: held, Released: size.Sub(held), Idle: time.Duration(idle / float64(max(1, size.MilliCPU)))}, true
}
