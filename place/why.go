package place

import (
	"fmt"

	"daisyswitch/fleet"
	"daisyswitch/resource"
)

// Why returns a one-line reason why a task waits, or an empty string if it does not wait.
func (p *Placer) Why(job string, index int32) string {
	t := p.fleet.Find(job, index)
	if t == nil || !fleet.Waiting(t.State) {
		return ""
	}
	size := p.startSize(t.Job)
	switch {
	case t.Decision == fleet.DecidedStart:
		return "its start is being committed"
	case t.Decision == fleet.DecidedEnd:
		return "its end is being committed"
	case t.Reserved != nil:
		return fmt.Sprintf("room is being made on worker %s", t.Reserved.Name)
	case p.fitsNoWorker(t.Job):
		return "no worker is large enough"
	case !t.Job.WithinQuota(size):
		return fmt.Sprintf("team %s has reached its quota", t.Job.Team.Name)
	}
	return p.whyNoCapacity(t.Job, size)
}

// whyNoCapacity scans every worker; operators ask too rarely for the cost to matter.
func (p *Placer) whyNoCapacity(j *fleet.Job, size resource.Size) string {
	room, in, out := false, false, false
	for _, w := range p.fleet.Workers {
		if w.Domain == nil || !size.Fits(w.Capacity) {
			continue
		}
		if w.Domain.Out {
			out = true
			continue
		}
		in = true
		room = room || size.Fits(w.UnreservedFree())
	}
	switch {
	case !in && out:
		return "fits only workers in domains that are out"
	case !in:
		return "fits only workers that are gone"
	case !room:
		return "every worker large enough is full"
	case j.Lane.Current() != j:
		return "waits behind other work of its class and team"
	case j.MinDomains > 1:
		return fmt.Sprintf("room is free, but not in a failure domain that it must still spread to (at least %d)", j.MinDomains)
	}
	return "room is free, but beside services that are near their target, or on workers that fail what they start"
}
