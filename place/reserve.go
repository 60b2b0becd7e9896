package place

import (
	"cmp"
	"slices"
	"time"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

// reserveFor is how long room that is being made is kept for the task that it is made for.
const reserveFor = 20 * time.Second

// holder returns the worker on which room was made for a task, if the room is there by now.
func (d *round) holder(t *task, size resource.Size) *worker {
	w := t.holder
	if w == nil || w.domain == nil || w.domain.out || !size.Fits(w.free) {
		return nil
	}
	return w
}

func (p *Placer) unreserve(t *task) {
	w := t.holder
	if w == nil {
		return
	}
	t.holder, w.reserved = nil, nil
	if i := slices.Index(p.reserved, w); i >= 0 {
		p.reserved = slices.Delete(p.reserved, i, i+1)
	}
	p.offer(w)
}

// makeRoom evicts batch for an urgent task or a replica where that takes the fewest evictions among some workers, and keeps the room for it.
func (d *round) makeRoom(t *task, size resource.Size) {
	if t.holder != nil || len(d.Events) >= d.options.MaxEvents {
		return
	}
	var best *worker
	var bestEvictions []*task
	domains, _ := d.allowed(t.job)
	for _, each := range domains {
		d.sample(each, func(w *worker) {
			if w.reserved != nil || w.blame.Suspended() || t.failedOn == w || !size.Fits(w.capacity) {
				return
			}
			list := d.evictions(w, size.Sub(w.free))
			if list != nil && (best == nil || len(list) < len(bestEvictions)) {
				best, bestEvictions = w, list
			}
		})
	}
	if best == nil {
		return
	}
	for _, each := range bestEvictions {
		d.evict(each, "urgent work or a service needs the room")
	}
	best.reserved, best.until, t.holder = t, d.now.Add(reserveFor), best
	d.reserved = append(d.reserved, best)
	d.offer(best)
}

// sample calls f for some workers of a domain, beginning anywhere.
func (d *round) sample(each *domain, f func(*worker)) {
	length := len(each.workers)
	if length == 0 {
		return
	}
	begin := d.random.IntN(length)
	for i := range min(length, d.options.Candidates) {
		if w := each.workers[(begin+i)%length]; w != nil {
			f(w)
		}
	}
}

// evictions returns the tasks whose eviction frees what is missing, largest first, empty if what is stopping already frees it, and nil if all batch is not enough.
func (d *round) evictions(w *worker, missing resource.Size) []*task {
	list := []*task{}
	var open []*task
	for _, t := range w.tasks {
		if t.state == wire.TaskState_TASK_STATE_STOPPING || t.decision == decidedStop {
			missing = missing.Sub(t.committed)
		} else if t.evictable() && !t.job.GetUrgent() {
			open = append(open, t)
		}
	}
	slices.SortStableFunc(open, func(a, b *task) int { return cmp.Compare(b.committed.MilliCPU, a.committed.MilliCPU) })
	for _, t := range open {
		if missing.Fits(resource.Size{}) {
			break
		}
		list = append(list, t)
		missing = missing.Sub(t.committed)
	}
	if !missing.Fits(resource.Size{}) {
		return nil
	}
	return list
}
