package place

import (
	"math"

	"daisyswitch/fleet"
	"daisyswitch/resource"
)

// choose returns the best-scoring worker among a sample of those with enough free capacity for a task, or nil if there is none.
func (r *round) choose(t *fleet.Task, size resource.Size) *fleet.Worker {
	r.searches++
	var best *fleet.Worker
	bestScore, found := math.Inf(-1), false
	limit, spread := r.options.Candidates, spreadOf(t.Job)
	if spread != nil {
		limit = r.options.SpreadCandidates
	}
	domains, all := r.allowedDomains(t.Job, spread)
	for _, domain := range domains {
		r.forCandidates(domain, size, limit, func(w *fleet.Worker) {
			found = true
			if score := r.score(t, w, size, spread); score > bestScore {
				best, bestScore = w, score
			}
		})
	}
	if !found && all {
		r.unplaceable = append(r.unplaceable, size)
	}
	return best
}

// forCandidates calls f for up to limit workers of a domain that have enough free capacity, starting at a random slot.
func (r *round) forCandidates(domain *fleet.Domain, size resource.Size, limit int, f func(*fleet.Worker)) {
	length := domain.Rooms.Len()
	if length == 0 {
		return
	}
	begin := r.random.IntN(length)
	slotFrom, wrapped := begin, false
	for range limit {
		slot := domain.Rooms.Next(size, slotFrom)
		if slot < 0 && !wrapped {
			wrapped = true
			slot = domain.Rooms.Next(size, 0)
		}
		if slot < 0 || wrapped && slot >= begin {
			return
		}
		f(domain.Workers[slot])
		slotFrom = slot + 1
	}
}

// allowedDomains returns the domains in which the job's next task may start, and whether they are all the domains that are not marked out.
func (r *round) allowedDomains(j *fleet.Job, s *spread) (list []*fleet.Domain, all bool) {
	needed := 0
	if s != nil {
		needed = j.MinDomains - len(s.domains)
	}
	needsNewDomain := needed > 0 && j.Waiting() <= needed
	all = true
	for _, domain := range r.fleet.Domains {
		if domain.Out {
			continue
		}
		if needsNewDomain && s.domains[domain] > 0 {
			all = false
			continue
		}
		list = append(list, domain)
	}
	return list, all
}

// spread counts the tasks of a job that hold capacity, by domain, rack and worker.
type spread struct {
	domains map[*fleet.Domain]int
	racks   map[rack]int
	workers map[*fleet.Worker]int
}

type rack struct {
	domain *fleet.Domain
	name   string
}

// spreadOf returns the spread of a job, or nil if the job does not have to be spread.
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

// Weights in the score of a job that is spread: each outweighs the sum of those below it.
const (
	domainWeight = 1e9
	rackWeight   = 1e6
	workerWeight = 1e3
)

// score prefers the domain, then the rack, then the worker with the fewest tasks of the job.
func (s *spread) score(w *fleet.Worker) float64 {
	return -domainWeight*float64(s.domains[w.Domain]) -
		rackWeight*float64(s.racks[rack{w.Domain, w.Rack}]) -
		workerWeight*float64(s.workers[w])
}

// score rates a worker for a task: higher is better, and minus infinity means that the task must not start there.
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
		score -= float64(w.Free.Accelerators) // leave accelerators to tasks that need them
	}
	if service {
		return score + w.Share(w.Free.MilliCPU)
	}
	if r.features.pairCosts {
		score -= r.usage.HeadroomCost(t.Job, w, w.Share(size.MilliCPU))
	}
	return score
}
