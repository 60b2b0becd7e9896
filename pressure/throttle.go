package pressure

import "daisyswitch/fleet"

// Throttles returns the throttles that changed since the last call.
func (g *Gauge) Throttles() []Throttle {
	list := g.changed
	g.changed = nil
	return list
}

// Forget removes the throttle of an attempt that has ended.
func (g *Gauge) Forget(t *fleet.Task) {
	if t.Throttle > 0 {
		g.setThrottle(t, 0)
	}
}

func throttleOf(t *fleet.Task) Throttle {
	return Throttle{Job: t.Job.ID, Index: t.Index, Attempt: t.Attempt, Percent: t.Throttle}
}

func (g *Gauge) setThrottle(t *fleet.Task, percent int32) {
	t.Throttle = percent
	g.changed = append(g.changed, throttleOf(t))
}
