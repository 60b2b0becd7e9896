package place

import (
	"cmp"
	"slices"

	"daisyswitch/fleet"
	"daisyswitch/resource"
)

// reserveByEviction evicts batch tasks to make capacity for an urgent task or a replica, and reserves that capacity. Among the sampled workers it picks the one that needs the fewest evictions.
func (r *round) reserveByEviction(t *fleet.Task, size resource.Size) {
	if t.Reserved != nil || len(r.events) >= r.options.MaxEvents {
		return
	}
	var best *fleet.Worker
	var victims []*fleet.Task
	domains, _ := r.allowedDomains(t.Job, spreadOf(t.Job))
	for _, domain := range domains {
		r.sampleWorkers(domain, func(w *fleet.Worker) {
			if w.IsReserved() || w.Blame.Suspended() || t.FailedOn == w || !size.Fits(w.Capacity) {
				return
			}
			list := r.evictionsFor(w, size.Sub(w.Free))
			if list != nil && (best == nil || len(list) < len(victims)) {
				best, victims = w, list
			}
		})
	}
	if best == nil {
		return
	}
	for _, domain := range victims {
		r.evict(domain, "urgent work or a service needs the room")
	}
	r.fleet.Reserve(best, t, size, r.fleet.Now.Add(r.options.Keep))
}

// sampleWorkers calls f for a bounded number of workers of a domain, starting at a random slot.
func (r *round) sampleWorkers(domain *fleet.Domain, f func(*fleet.Worker)) {
	length := len(domain.Workers)
	if length == 0 {
		return
	}
	begin := r.random.IntN(length)
	for i := range min(length, r.options.SpreadCandidates) {
		if w := domain.Workers[(begin+i)%length]; w != nil {
			f(w)
		}
	}
}

// evictionsFor returns the batch tasks to evict to free the missing capacity, largest first. The list is empty if tasks that are already stopping free enough, and nil if evicting all batch tasks would not.
func (p *Placer) evictionsFor(w *fleet.Worker, missing resource.Size) []*fleet.Task {
	list := []*fleet.Task{}
	var evictable []*fleet.Task
	for _, t := range w.Tasks {
		if t.Stopping() {
			missing = missing.Sub(t.Committed)
		} else if t.Evictable() && !t.Job.Urgent {
			evictable = append(evictable, t)
		}
	}
	slices.SortStableFunc(evictable, func(a, b *fleet.Task) int { return cmp.Compare(b.Committed.MilliCPU, a.Committed.MilliCPU) })
	for _, t := range evictable {
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
