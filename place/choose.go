package place

import (
	"math"

	"daisyswitch/fleet"
	"daisyswitch/resource"
)

// choose returns the best of some workers with room for a task, or nil.
func (r *round) choose(t *fleet.Task, size resource.Size) *fleet.Worker {
	r.searches++
	var best *fleet.Worker
	bestScore, found := math.Inf(-1), false
	limit, spread := r.options.Candidates, spreadOf(t.Job)
	if spread != nil {
		limit = r.options.SpreadCandidates
	}
	domains, all := r.allowed(t.Job, spread)
	for _, each := range domains {
		r.candidates(each, size, limit, func(w *fleet.Worker) {
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

// candidates calls f for at most so many workers of a domain that have room, beginning anywhere.
func (r *round) candidates(each *fleet.Domain, size resource.Size, limit int, f func(*fleet.Worker)) {
	length := each.Rooms.Len()
	if length == 0 {
		return
	}
	begin := r.random.IntN(length)
	at, wrapped := begin, false
	for range limit {
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

// score says how well a worker suits a task: higher is better, and minus infinity that it must not start there.
func (r *round) score(t *fleet.Task, w *fleet.Worker, size resource.Size, s *spread) float64 {
	service := t.Job.Class.Service()
	if t.FailedOn == w || service && w.Blame.Suspended() {
		return math.Inf(-1)
	}
	score := 0.0
	if s != nil {
		score += s.score(w)
	}
	if size.Accelerators == 0 {
		score -= float64(w.Free.Accelerators) // they are kept for work that needs them
	}
	if service {
		return score + w.Share(w.Free.MilliCPU)
	}
	if r.ideas.pairs {
		score -= r.usage.Burden(t.Job, w, w.Share(size.MilliCPU))
	}
	return score
}
