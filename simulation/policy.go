package simulation

import "daisyswitch/pick"

// Policy picks an executor for an entry. It may return pick.None, which keeps the request in the entry's queue.
type Policy struct {
	Name   string
	choose func(s *simulation, e *entry) int
	ideal  bool // a single entry without network delay receives all requests
}

// lowestCost returns the candidate with the lowest cost among those offered that are not barred. If it was offered two and both are barred, it considers all candidates.
func lowestCost(s *simulation, e *entry, offered []int, cost func(*pick.Candidate) int32) int {
	chosen, least := pick.None, int32(0)
	for _, x := range offered {
		c := e.candidates[x]
		if c.Ineligible {
			continue
		}
		if v := cost(c); chosen == pick.None || v < least {
			chosen, least = x, v
		}
	}
	if chosen == pick.None && len(offered) == 2 {
		return lowestCost(s, e, s.rng.Perm(len(e.candidates)), cost)
	}
	return chosen
}

func ownCount(c *pick.Candidate) int32   { return c.OwnInFlight }
func totalCount(c *pick.Candidate) int32 { return c.OwnInFlight + c.OthersInFlight }

func twoRandom(s *simulation, e *entry) []int {
	return []int{s.rng.IntN(len(e.candidates)), s.rng.IntN(len(e.candidates))}
}

func roundRobin(_ *simulation, e *entry) int {
	for {
		e.next = (e.next + 1) % len(e.candidates)
		if !e.candidates[e.next].Ineligible {
			return e.next
		}
	}
}

// central implements Ideal: it knows the occupancy of every slot and picks a random executor with a free one.
func central(s *simulation, e *entry) int {
	start := s.rng.IntN(len(e.candidates))
	for i := range e.candidates {
		x := (start + i) % len(e.candidates)
		if c := e.candidates[x]; c.OwnInFlight < slots && !c.Ineligible {
			return x
		}
	}
	return pick.None
}

var (
	allCandidates = func(s *simulation, e *entry) []int { return s.rng.Perm(len(e.candidates)) }
	// Ideal is a single central queue over all slots, without network delay.
	Ideal = Policy{Name: "central queue (ideal)", choose: central, ideal: true}
	// RoundRobin picks the executors in turn.
	RoundRobin = Policy{Name: "round robin", choose: roundRobin}
	// EntryPolicy is the policy that entries run.
	EntryPolicy = Policy{Name: "quota, then known load", choose: func(s *simulation, e *entry) int { return pick.Choose(s.rng, e.candidates) }}
	// Others are additional baselines.
	Others = []Policy{
		{Name: "least in-flight", choose: func(s *simulation, e *entry) int { return lowestCost(s, e, allCandidates(s, e), ownCount) }},
		{Name: "two choices", choose: func(s *simulation, e *entry) int { return lowestCost(s, e, twoRandom(s, e), ownCount) }},
		{Name: "two choices, shared counts", choose: func(s *simulation, e *entry) int { return lowestCost(s, e, twoRandom(s, e), totalCount) }},
		{Name: "least in-flight, shared counts", choose: func(s *simulation, e *entry) int { return lowestCost(s, e, allCandidates(s, e), totalCount) }},
	}
)
