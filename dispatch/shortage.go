package dispatch

import (
	"slices"

	"daisyswitch/resource"
	"daisyswitch/workflow"
)

// maxShortages bounds how many asks are remembered as without room; an installation has a few dozen images.
const maxShortages = 10_000

// ask names what steps that ask for the same have in common, but for the size.
type ask struct {
	pool    string
	image   string
	chance  lateness
	filling bool
}

// shortage is what found no room on any worker, as of a round; since then only workers that have changed can have room for it.
type shortage struct {
	round int
	most  int64           // thousandths of a core that the largest task with room could ask for at most
	sizes []resource.Size // of tasks that found no room
}

// covers says whether a task of a size asks for at least what found no room.
func (d *shortage) covers(size resource.Size) bool {
	return size.MilliCPU > d.most || slices.ContainsFunc(d.sizes, func(failed resource.Size) bool { return failed.Fits(size) })
}

// askOf returns what a step asks for; ok is false for one that asks for more than room.
func (r *round) askOf(step *workflow.Step) (a ask, ok bool) {
	s, chance := step.Spec, r.chance[step.Job]
	if s.GetLasting() || s.GetRequires() != "" || s.GetMaxPerWorker() > 0 || chance != inTime && !r.wanting {
		return ask{}, false
	}
	return ask{step.Job.Queue.GetPool(), s.GetImage(), chance, s.GetFilling()}, true
}

// shortageFor returns the shortage that covers a step, nil if there is none.
func (r *round) shortageFor(step *workflow.Step) *shortage {
	a, ok := r.askOf(step)
	if !ok {
		return nil
	}
	d := r.s.shortages[a]
	if d == nil || !d.covers(resource.FromWire(step.Spec.GetSize())) {
		return nil
	}
	return d
}

// hopeless says whether a step asks for at least what found no room in this round; what follows in a round only takes room.
func (r *round) hopeless(step *workflow.Step) bool {
	d := r.shortageFor(step)
	return d != nil && d.round == r.number
}

// noteShortage remembers that a step found no room.
func (ch *chooser) noteShortage() {
	r := ch.r
	a, ok := r.askOf(ch.step)
	if !ok {
		return
	}
	size, most := resource.FromWire(ch.step.Spec.GetSize()), ch.mostAsked()
	d := r.s.shortages[a]
	switch {
	case d != nil && ch.since > 0:
		most = max(most, d.most)
		d.sizes = nil
	case d == nil || d.round != r.number:
		d = &shortage{}
		if len(r.s.shortages) >= maxShortages {
			clear(r.s.shortages)
		}
		r.s.shortages[a] = d
	}
	d.round, d.most = r.number, most
	if size.MilliCPU <= most {
		d.sizes = append(d.sizes, size)
	}
}

// mostAsked returns the thousandths of a core that the largest task like the step's could ask for on the workers that were looked at, memory aside.
func (ch *chooser) mostAsked() int64 {
	most := int64(0)
	for _, c := range ch.pool() {
		if c.changed > ch.since {
			most = max(most, ch.mostOn(c))
		}
	}
	return most
}

func (ch *chooser) mostOn(c *candidate) int64 {
	if !ch.step.Spec.GetFilling() {
		return c.free.MilliCPU
	}
	share := ch.r.shareFor(c, ch.image, ch.chance)
	return int64(min(float64(c.unused)/roomShare, share*float64(c.Capacity.MilliCPU)))
}
