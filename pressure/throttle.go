package pressure

import (
	"slices"

	"daisyswitch/fleet"
)

// Throttles returns all that are throttled now, and with 0 those released since the last call.
func (g *Gauge) Throttles() []Throttle {
	list := g.released
	g.released = nil
	for _, t := range g.throttled {
		list = append(list, throttleOf(t))
	}
	return list
}

// Forget ends the throttling of an attempt that has ended.
func (g *Gauge) Forget(t *fleet.Task) {
	if t.Throttle > 0 {
		g.set(t, 0)
	}
}

func throttleOf(t *fleet.Task) Throttle {
	return Throttle{Job: t.Job.ID, Index: t.Index, Attempt: t.Attempt, Percent: t.Throttle}
}

func (g *Gauge) set(t *fleet.Task, percent int32) {
	before := t.Throttle
	t.Throttle = percent
	if before == 0 && percent > 0 {
		g.throttled = append(g.throttled, t)
	}
	if before > 0 && percent == 0 {
		g.released = append(g.released, throttleOf(t))
		i := slices.Index(g.throttled, t)
		g.throttled = slices.Delete(g.throttled, i, i+1)
	}
}
