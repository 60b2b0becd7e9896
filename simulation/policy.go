package simulation

import "daisyswitch/pick"

// Policy picks an executor for an entry; late policies may answer pick.None and keep the request in the entry's queue.
type Policy struct {
	Name   string
	choose func(s *simulation, e *entry) int
	ideal  bool // one entry without delay takes all requests
}

// best returns the unbarred candidate with the lowest cost among those offered.
func best(s *simulation, e *entry, offered []int, cost func(*pick.Candidate) int32) int {
	chosen, least := pick.None, int32(0)
	for _, x := range offered {
		c := e.candidates[x]
		if c.Barred {
			continue
		}
		if v := cost(c); chosen == pick.None || v < least {
			chosen, least = x, v
		}
	}
	if chosen == pick.None && len(offered) == 2 {
		return best(s, e, s.rng.Perm(len(e.candidates)), cost)
	}
	return chosen
}

func own(c *pick.Candidate) int32   { return c.Own }
func total(c *pick.Candidate) int32 { return c.Own + c.Others }

func two(s *simulation, e *entry) []int {
	return []int{s.rng.IntN(len(e.candidates)), s.rng.IntN(len(e.candidates))}
}

func roundRobin(_ *simulation, e *entry) int {
	for {
		e.next = (e.next + 1) % len(e.candidates)
		if !e.candidates[e.next].Barred {
			return e.next
		}
	}
}

// central is the ideal: one entry that knows every slot, without delay on the way.
func central(s *simulation, e *entry) int {
	start := s.rng.IntN(len(e.candidates))
	for i := range e.candidates {
		x := (start + i) % len(e.candidates)
		if c := e.candidates[x]; c.Own < slots && !c.Barred {
			return x
		}
	}
	return pick.None
}

var (
	all = func(s *simulation, e *entry) []int { return s.rng.Perm(len(e.candidates)) }
	// Ideal is one central queue over all slots.
	Ideal = Policy{Name: "central queue (ideal)", choose: central, ideal: true}
	// RoundRobin takes one after the other.
	RoundRobin = Policy{Name: "round robin", choose: roundRobin}
	// Product is what entries run.
	Product = Policy{Name: "quota, then known load", choose: func(s *simulation, e *entry) int { return pick.Choose(s.rng, e.candidates) }}
	// Others are further baselines.
	Others = []Policy{
		{Name: "least in-flight", choose: func(s *simulation, e *entry) int { return best(s, e, all(s, e), own) }},
		{Name: "two choices", choose: func(s *simulation, e *entry) int { return best(s, e, two(s, e), own) }},
		{Name: "two choices, shared counts", choose: func(s *simulation, e *entry) int { return best(s, e, two(s, e), total) }},
		{Name: "least in-flight, shared counts", choose: func(s *simulation, e *entry) int { return best(s, e, all(s, e), total) }},
	}
)
