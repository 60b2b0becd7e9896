package pick

import "math/rand/v2"

// farPenalty is how much busier a near upstream may be than one of another failure domain before a request spills, in shares of its slots.
const farPenalty = 0.25

// None says that no candidate can take the request now.
const None = -1

// Choose returns the index of the candidate to send to, or None if the request should wait for a slot.
// Slots of the entry's own quota come first, then those that nobody seems to use, near ones before far ones.
func Choose(rng *rand.Rand, candidates []*Candidate) int {
	if i := least(rng, candidates, ownsFreeSlot); i != None {
		return i
	}
	if i := least(rng, candidates, seemsFree); i != None {
		return i
	}
	return least(rng, candidates, withinQuota)
}

func usable(c *Candidate) bool      { return !c.Barred && !c.Ejected && c.Own < c.Limit }
func withinQuota(c *Candidate) bool { return usable(c) && c.Own < c.Quota }
func ownsFreeSlot(c *Candidate) bool {
	return withinQuota(c) && c.free()
}
func seemsFree(c *Candidate) bool { return usable(c) && c.free() }

// least returns the admitted candidate with the smallest load, ties broken at random.
func least(rng *rand.Rand, candidates []*Candidate, admit func(*Candidate) bool) int {
	best, bestCost, ties := None, 0.0, 0
	for i, c := range candidates {
		if !admit(c) {
			continue
		}
		cost := c.cost()
		switch {
		case best == None || cost < bestCost:
			best, bestCost, ties = i, cost, 1
		case cost == bestCost:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// cost is the load with the price of leaving the failure domain.
func (c *Candidate) cost() float64 {
	cost := c.load()
	if !c.Near {
		cost += farPenalty
	}
	return cost
}
