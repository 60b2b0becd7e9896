package place

import (
	"math"

	"daisyswitch/fleet"
	"daisyswitch/resource"
)

// choose returns the best of some workers with room for a task, or nil.
func (r *round) choose(t *fleet.Task, size resource.Size) *fleet.Worker {
	var best *fleet.Worker
	bestScore, found := math.Inf(-1), false
	spread := spreadOf(t.Job)
	domains, all := r.allowed(t.Job, spread)
	for _, each := range domains {
		r.candidates(each, size, func(w *fleet.Worker) {
			found = true
			if score := r.score(t, w, size, spread); score > bestScore {
				best, bestScore = w, score
			}
		})
	}
	if !found && all {
		r.full = append(r.full, size)
	}
	return best
}

// candidates calls f for some workers of a domain that have room, beginning anywhere.
func (r *round) candidates(each *fleet.Domain, size resource.Size, f func(*fleet.Worker)) {
	length := each.Rooms.Len()
	if length == 0 {
		return
	}
	begin := r.random.IntN(length)
	at, wrapped := begin, false
	for range r.options.Candidates {
		slot := each.Rooms.Next(size, at)
		if slot < 0 && !wrapped {
			wrapped = true
			slot = each.Rooms.Next(size, 0)
		}
		if slot < 0 || wrapped && slot >= begin {
			return
		}
		f(each.Workers[slot])
		at = slot + 1
	}
}

// allowed returns the domains that a job's next task may start in, and whether these are all that are in.
func (r *round) allowed(j *fleet.Job, s *spread) (list []*fleet.Domain, all bool) {
	needed := 0
	if s != nil {
		needed = j.MinDomains - len(s.domains)
	}
	fresh := needed > 0 && j.Waiting() <= needed
	all = true
	for _, each := range r.fleet.Domains {
		if each.Out {
			continue
		}
		if fresh && s.domains[each] > 0 {
			all = false
			continue
		}
		list = append(list, each)
	}
	return list, all
}

// spread counts a job's tasks that hold room, by where they are.
type spread struct {
	domains map[*fleet.Domain]int
	racks   map[rack]int
	workers map[*fleet.Worker]int
}

type rack struct {
	domain *fleet.Domain
	name   string
}

// spreadOf returns the spread of a job, nil for one that need not be spread.
func spreadOf(j *fleet.Job) *spread {
	if j.MinDomains <= 1 && !j.Class.Service() {
		return nil
	}
	s := &spread{make(map[*fleet.Domain]int), make(map[rack]int), make(map[*fleet.Worker]int)}
	for _, t := range j.Tasks {
		if w := t.Worker; w != nil && w.Domain != nil {
			s.domains[w.Domain]++
			s.racks[rack{w.Domain, w.Rack}]++
			s.workers[w]++
		}
	}
	return s
}

// Weights of a spread job's score: each outweighs the sum of those below it.
const (
	domainWeight = 1e9
	rackWeight   = 1e6
	workerWeight = 1e3
)

// score prefers the domain, then the rack, then the worker with fewest of the job's tasks.
func (s *spread) score(w *fleet.Worker) float64 {
	return -domainWeight*float64(s.domains[w.Domain]) -
		rackWeight*float64(s.racks[rack{w.Domain, w.Rack}]) -
		workerWeight*float64(s.workers[w])
}

// fitWeight sets how much tight packing counts beside interference.
const fitWeight = 0.1

// score says how well a worker suits a task: higher is better, and minus infinity that it must not start there.
func (r *round) score(t *fleet.Task, w *fleet.Worker, size resource.Size, s *spread) float64 {
	if t.FailedOn == w || t.Job.Class.Service() && w.Blame.Suspended() {
		return math.Inf(-1)
	}
	if t.Job.Class.Service() {
		return s.score(w) + w.Share(w.Free.MilliCPU)
	}
	score := fitWeight * fit(w, size)
	if s != nil {
		score += s.score(w)
	}
	if r.ideas.pairs {
		score -= r.usage.Burden(t.Job, w, w.Share(size.MilliCPU))
	}
	return score
}

// fit prefers little and balanced room left over, and keeps accelerators free of work that needs none.
func fit(w *fleet.Worker, size resource.Size) float64 {
	left := w.Free.Sub(size)
	cpu := w.Share(left.MilliCPU)
	memory := float64(left.MemoryMiB) / float64(max(1, w.Capacity.MemoryMiB))
	score := -cpu - memory - math.Abs(cpu-memory)
	if size.Accelerators == 0 {
		score -= float64(w.Capacity.Accelerators)
	}
	return score
}
