package place

import "fmt"

// Why returns in one line why a queued task waits, and an empty line for one that does not.
func (p *Placer) Why(id string, index int32) string {
	j := p.jobs[id]
	if j == nil {
		return ""
	}
	t := j.tasks[index]
	if t == nil || !waiting(t.state) {
		return ""
	}
	if t.decision != undecided {
		return "a start was decided and is being committed"
	}
	if p.impossible(j) {
		return "no worker is large enough"
	}
	if !p.withinQuota(j.team, j.size) {
		return fmt.Sprintf("team %s has reached its quota", j.team.name)
	}
	return p.whyNoRoom(j)
}

func (p *Placer) whyNoRoom(j *job) string {
	in, out := false, false
	for _, w := range p.workers {
		if !j.size.Fits(w.capacity) {
			continue
		}
		in = in || (w.domain != nil && !w.domain.out)
		out = out || (w.domain != nil && w.domain.out)
	}
	switch {
	case !in && out:
		return "fits only workers in domains that are out"
	case !in:
		return "fits only workers that are gone"
	case j.queue.first != nil && j.lane.first != j:
		return "waits for room behind other work of its class"
	}
	return "waits for room on a worker"
}
