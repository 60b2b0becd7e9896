package dispatch

import (
	"slices"

	"daisyswitch/resource"
	"daisyswitch/workflow"
)

// maxShortages bounds the number of remembered shortages; an installation has a few dozen images.
const maxShortages = 10_000

// shortageKey identifies steps with the same requirements apart from size.
type shortageKey struct {
	pool             string
	image            string
	expectedLateness lateness
	filling          bool
	queue            int32 // number of the queue, 0 unless capacity may be withheld, which depends on run times, and so on the queue
}

// shortage describes tasks that found no room on any worker as of a round. Afterwards only workers that have changed can have room for them.
type shortage struct {
	round       int
	maxMilliCPU int64           // upper bound, in thousandths of a core, of a task that could have had room
	failedSizes []resource.Size // sizes up to maxMilliCPU that found no room
}

// covers reports whether a task size is at least as large as one that found no room.
func (d *shortage) covers(size resource.Size) bool {
	return size.MilliCPU > d.maxMilliCPU || slices.ContainsFunc(d.failedSizes, func(failed resource.Size) bool { return failed.Fits(size) })
}

// shortageKeyOf returns the shortage key of a step. ok is false if the step's placement depends on more than room.
func (r *round) shortageKeyOf(step *workflow.Step) (a shortageKey, ok bool) {
	s, expectedLateness := step.Spec, r.expectedLateness[step.Job]
	if s.GetLasting() || s.GetRequires() != "" || s.GetMaxPerWorker() > 0 || expectedLateness != inTime && !r.inTimeWaits {
		return shortageKey{}, false
	}
	a = shortageKey{pool: step.Job.Queue.GetPool(), image: s.GetImage(), expectedLateness: expectedLateness, filling: s.GetFilling()}
	if r.s.ahead != nil {
		a.queue = r.s.ahead.queueNumber(step.Job.Place())
	}
	return a, true
}

// shortageFor returns the shortage that covers a step, or nil if there is none.
func (r *round) shortageFor(step *workflow.Step) *shortage {
	a, ok := r.shortageKeyOf(step)
	if !ok {
		return nil
	}
	d := r.s.shortages[a]
	if d == nil || !d.covers(resource.FromWire(step.Spec.GetSize())) {
		return nil
	}
	return d
}

// knownWithoutRoom reports whether a step is covered by a shortage of this round. Room never grows within a round.
func (r *round) knownWithoutRoom(step *workflow.Step) bool {
	d := r.shortageFor(step)
	return d != nil && d.round == r.number
}

// recordShortage records that a step found no room.
func (ch *chooser) recordShortage() {
	r := ch.r
	a, ok := r.shortageKeyOf(ch.step)
	if !ok {
		return
	}
	size, maxMilliCPU := resource.FromWire(ch.step.Spec.GetSize()), ch.maxMilliCPUWithRoom()
	d := r.s.shortages[a]
	switch {
	case d != nil && ch.sinceRound > 0:
		maxMilliCPU = max(maxMilliCPU, d.maxMilliCPU)
		d.failedSizes = nil
	case d == nil || d.round != r.number:
		d = &shortage{}
		if len(r.s.shortages) >= maxShortages {
			clear(r.s.shortages)
		}
		r.s.shortages[a] = d
	}
	d.round, d.maxMilliCPU = r.number, maxMilliCPU
	if size.MilliCPU <= maxMilliCPU {
		d.failedSizes = append(d.failedSizes, size)
	}
}

// dropShortage forgets the shortage that a gang has recorded whose placements were undone: what it left free then is not what is free now.
func (r *round) dropShortage(step *workflow.Step) {
	if a, ok := r.shortageKeyOf(step); ok {
		delete(r.s.shortages, a)
	}
}

// maxMilliCPUWithRoom returns the most processors, in thousandths of a core, that a task like the step's could have had on the workers examined, memory aside.
func (ch *chooser) maxMilliCPUWithRoom() int64 {
	most := int64(0)
	for _, c := range ch.pool() {
		if c.changedRound > ch.sinceRound {
			most = max(most, ch.maxMilliCPUOn(c))
		}
	}
	return most
}

func (ch *chooser) maxMilliCPUOn(c *candidate) int64 {
	if !ch.step.Spec.GetFilling() {
		return ch.r.freeFor(ch.step, c).MilliCPU
	}
	share := ch.r.availableShare(c, ch.imageNumber, ch.expectedLateness)
	return int64(min(float64(c.unused)/minUnusedShare, share*float64(c.Capacity.MilliCPU)))
}
