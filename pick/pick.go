package pick

import "math/rand/v2"

const (
	// None says that no candidate can take the request now.
	None = -1
	// othersWeight is what a request in flight from another entry counts for beside one's own, since reports of it are old.
	othersWeight = 0.1
	// beyondQuota is how many requests an entry sends to an upstream above its quota without knowing of a free slot.
	beyondQuota = 1
)

// Choose returns the index of the candidate to send to, or None if the request should wait for a slot.
// The entry's quotas are filled evenly first; only what exceeds them spills to slots that others may want.
func Choose(rng *rand.Rand, candidates []*Candidate) int {
	if i := least(rng, candidates, (*Candidate).withinQuota, (*Candidate).fill); i != None {
		return i
	}
	return least(rng, candidates, (*Candidate).mayBorrow, (*Candidate).excess)
}

// least returns the admitted candidate with the smallest cost, ties broken at random.
func least(rng *rand.Rand, candidates []*Candidate, admit func(*Candidate) bool, cost func(*Candidate) float64) int {
	best, bestCost, ties := None, 0.0, 0
	for i, c := range candidates {
		if !admit(c) {
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
