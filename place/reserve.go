package place

import (
	"cmp"
	"slices"

	"daisyswitch/fleet"
	"daisyswitch/resource"
)

// makeRoom evicts batch for an urgent task or a replica where that takes the fewest evictions among some workers, and keeps the room for it.
func (r *round) makeRoom(t *fleet.Task, size resource.Size) {
	if t.Reserved != nil || len(r.events) >= r.options.MaxEvents {
		return
	}
	var best *fleet.Worker
	var victims []*fleet.Task
	domains, _ := r.allowed(t.Job, spreadOf(t.Job))
	for _, each := range domains {
		r.sample(each, func(w *fleet.Worker) {
			if w.IsReserved() || w.Blame.Suspended() || t.FailedOn == w || !size.Fits(w.Capacity) {
				return
			}
			list := r.evictions(w, size.Sub(w.Free))
			if list != nil && (best == nil || len(list) < len(victims)) {
				best, victims = w, list
			}
		})
	}
	if best == nil {
		return
	}
	for _, each := range victims {
		r.evict(each, "urgent work or a service needs the room")
	}
	r.fleet.Reserve(best, t, size, r.fleet.Now.Add(r.options.Keep))
}

// sample calls f for some workers of a domain, beginning anywhere.
func (r *round) sample(each *fleet.Domain, f func(*fleet.Worker)) {
	length := len(each.Workers)
	if length == 0 {
		return
	}
	begin := r.random.IntN(length)
	for i := range min(length, r.options.SpreadCandidates) {
		if w := each.Workers[(begin+i)%length]; w != nil {
			f(w)
		}
	}
}

// evictions returns the tasks whose eviction frees what is missing, largest first, empty if what is stopping already frees it, and nil if all batch is not enough.
func (p *Placer) evictions(w *fleet.Worker, missing resource.Size) []*fleet.Task {
	list := []*fleet.Task{}
	var open []*fleet.Task
	for _, t := range w.Tasks {
		if t.Stopping() {
			missing = missing.Sub(t.Committed)
		} else if t.Evictable() && !t.Job.Urgent {
			open = append(open, t)
		}
	}
	slices.SortStableFunc(open, func(a, b *fleet.Task) int { return cmp.Compare(b.Committed.MilliCPU, a.Committed.MilliCPU) })
	for _, t := range open {
		if missing.Fits(resource.Size{}) {
			break
		}
		list = append(list, t)
		missing = missing.Sub(t.Committed)
	}
	if !missing.Fits(resource.Size{}) {
		return nil
	}
	return list
}
