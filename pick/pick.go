package pick

import "math/rand/v2"

const (
	// None means that no candidate can accept the request now.
	None = -1
	// othersWeight is the weight of another entry's request in flight relative to one of this entry, since reports from other entries are delayed.
	othersWeight = 0.1
	// quotaOvershoot is how many requests above its quota an entry sends to an upstream that has no free slot by the last reports.
	quotaOvershoot = 1
)

// Choose returns the index of the candidate to send to, or None if the request should wait for a slot.
// It fills the entry's own quotas evenly first, and borrows slots of other entries only when no quota is left.
func Choose(rng *rand.Rand, candidates []*Candidate) int {
	if i := lowestCost(rng, candidates, (*Candidate).withinQuota, (*Candidate).quotaUtilization); i != None {
		return i
	}
	return lowestCost(rng, candidates, (*Candidate).mayBorrow, (*Candidate).overQuotaCost)
}

// lowestCost returns the eligible candidate with the lowest cost and breaks ties at random.
func lowestCost(rng *rand.Rand, candidates []*Candidate, eligible func(*Candidate) bool, cost func(*Candidate) float64) int {
	best, bestCost, ties := None, 0.0, 0
	for i, c := range candidates {
		if !eligible(c) {
			continue
		}
		v := cost(c)
		switch {
		case best == None || v < bestCost:
			best, bestCost, ties = i, v, 1
		case v == bestCost:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
