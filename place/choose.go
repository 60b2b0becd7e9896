package place

import (
	"math"

	"daisyswitch/resource"
)

// choose returns the best of some workers with room for a task, or nil.
func (d *round) choose(t *task, size resource.Size) *worker {
	var best *worker
	bestScore, found := math.Inf(-1), false
	domains, all := d.allowed(t.job)
	for _, each := range domains {
		d.candidates(each, size, func(w *worker) {
			found = true
			if score := d.score(t, w, size); score > bestScore {
				best, bestScore = w, score
			}
		})
	}
	if !found && all {
		d.full = append(d.full, size)
	}
	return best
}

// candidates calls f for some workers of a domain that have room, beginning anywhere.
func (d *round) candidates(each *domain, size resource.Size, f func(*worker)) {
	length := each.rooms.Len()
	if length == 0 {
		return
	}
	begin := d.random.IntN(length)
	at, wrapped := begin, false
	for range d.options.Candidates {
		slot := each.rooms.Next(size, at)
		if slot < 0 && !wrapped {
			wrapped = true
			slot = each.rooms.Next(size, 0)
		}
		if slot < 0 || wrapped && slot >= begin {
			return
		}
		f(each.workers[slot])
		at = slot + 1
	}
}

// allowed returns the domains that a job's next task may start in, and whether that is all that are in.
func (d *round) allowed(j *job) (list []*domain, all bool) {
	counts := j.domains()
	needed := int(j.GetMinDomains()) - len(counts)
	fresh := needed > 0 && j.queue.length <= needed
	all = true
	for _, each := range d.ordered {
		if each.out {
			continue
		}
		if fresh && counts[each] > 0 {
			all = false
			continue
		}
		list = append(list, each)
	}
	return list, all
}

// domains counts a job's committed tasks by failure domain.
func (j *job) domains() map[*domain]int {
	if j.GetMinDomains() <= 1 {
		return nil
	}
	counts := make(map[*domain]int)
	for _, t := range j.tasks {
		if t.worker != nil && t.worker.domain != nil {
			counts[t.worker.domain]++
		}
	}
	return counts
}

// score says how well a worker suits a task: higher is better, and minus infinity that it must not start there.
func (d *round) score(t *task, w *worker, size resource.Size) float64 {
	if t.failedOn == w {
		return math.Inf(-1)
	}
	if t.job.class.service() {
		return spreadScore(t.job, w)
	}
	left := w.free.Sub(size)
	cpu := float64(left.MilliCPU) / float64(max(1, w.capacity.MilliCPU))
	memory := float64(left.MemoryMiB) / float64(max(1, w.capacity.MemoryMiB))
	score := -(cpu + memory) - math.Abs(cpu-memory)
	if size.Accelerators == 0 {
		score -= float64(w.capacity.Accelerators)
	}
	if !d.ideas.pairs {
		return fitWeight * score
	}
	return fitWeight*score - d.burden(t.job, w, size)
}

// fitWeight sets how much tight packing counts beside interference.
const fitWeight = 0.1

// Weights of spreadScore: each outweighs the sum of those below it.
const (
	domainWeight = 1e6
	rackWeight   = 1e4
	workerWeight = 1e2
)

// spreadScore prefers the domain, then the rack, then the worker with fewest replicas of the job, then the emptier one.
func spreadScore(j *job, w *worker) float64 {
	if w.blame.Suspended() {
		return math.Inf(-1)
	}
	score := float64(w.free.MilliCPU) / float64(max(1, w.capacity.MilliCPU))
	for _, t := range j.tasks {
		if t.worker == nil || t.worker.domain != w.domain {
			continue
		}
		score -= domainWeight
		if t.worker.rack == w.rack {
			score -= rackWeight
		}
		if t.worker == w {
			score -= workerWeight
		}
	}
	return score
}
