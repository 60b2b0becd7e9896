package pick_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"daisyswitch/pick"

	"gotest.tools/v3/assert"
)

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
	all     = func(s *simulation, e *entry) []int { return s.rng.Perm(len(e.candidates)) }
	ideal   = policy{name: "central queue (ideal)", choose: central, ideal: true}
	robin   = policy{name: "round robin", choose: roundRobin}
	product = policy{name: "quota, then known load", choose: func(s *simulation, e *entry) int { return pick.Choose(s.rng, e.candidates) }}
	others  = []policy{
		{name: "least in-flight", choose: func(s *simulation, e *entry) int { return best(s, e, all(s, e), own) }},
		{name: "two choices", choose: func(s *simulation, e *entry) int { return best(s, e, two(s, e), own) }},
		{name: "two choices, shared counts", choose: func(s *simulation, e *entry) int { return best(s, e, two(s, e), total) }},
		{name: "least in-flight, shared counts", choose: func(s *simulation, e *entry) int { return best(s, e, all(s, e), total) }},
	}
)

func scenarios(executors, domains int) []scenario {
	base := scenario{executors: executors, domains: domains, load: 0.8}
	list := []scenario{}
	add := func(name string, change func(*scenario)) {
		sc := base
		sc.name = name
		change(&sc)
		list = append(list, sc)
	}
	add("50%", func(s *scenario) { s.load = 0.5 })
	add("80%", func(*scenario) {})
	add("95%", func(s *scenario) { s.load = 0.95 })
	add("80%, one slow", func(s *scenario) { s.slow = true })
	add("80%, entry lost", func(s *scenario) { s.entryLost = true })
	add("50%, domain out and back", func(s *scenario) { s.load, s.domainOut = 0.5, true })
	add("80%, uneven callers", func(s *scenario) { s.skew = true })
	add("80%, even service", func(s *scenario) { s.even = true })
	return list
}

// TestPickMeetsTargets holds the product's policy to its targets on one seed; all follows from the seed.
func TestPickMeetsTargets(t *testing.T) {
	const requests, seed = 80_000, 7
	for _, sc := range scenarios(50, 3) {
		p99 := func(p policy) float64 { return float64(run(sc, p, seed, requests).latency.ValueAtPercentile(99)) }
		switch sc.name {
		case "80%", "80%, even service":
			assert.Assert(t, p99(product) <= 1.3*p99(ideal), sc.name)
		case "80%, one slow":
			assert.Assert(t, p99(product) <= 0.5*p99(robin))
		}
	}
}

// BenchmarkPick prints the table of docs/design/03-requests.md: medians over the seeds.
func BenchmarkPick(b *testing.B) {
	const requests, seeds = 100_000, 5
	for _, size := range [][2]int{{50, 3}, {65, 4}} {
		b.Run(fmt.Sprint(size[0]), func(b *testing.B) {
			for b.Loop() {
				for _, sc := range scenarios(size[0], size[1]) {
					for _, p := range append([]policy{ideal, product, robin}, others...) {
						fmt.Println(row(sc, p, requests, seeds))
					}
				}
			}
		})
	}
}

func row(sc scenario, p policy, requests, seeds int) string {
	runs := make([]*simulation, seeds)
	var group sync.WaitGroup
	for i := range runs {
		group.Go(func() { runs[i] = run(sc, p, uint64(i+1), requests) })
	}
	group.Wait()
	var line strings.Builder
	fmt.Fprintf(&line, "| %d, %s | %s |", sc.executors, sc.name, p.name)
	for _, percentile := range []float64{50, 99, 99.9} {
		var values []float64
		for _, s := range runs {
			values = append(values, float64(s.latency.ValueAtPercentile(percentile))/1000)
		}
		slices.Sort(values)
		fmt.Fprintf(&line, " %.1f (%.1f to %.1f) |", values[seeds/2], values[0], values[seeds-1])
	}
	refused := 0
	for _, s := range runs {
		refused += s.refused
	}
	fmt.Fprintf(&line, " %d |", refused)
	return line.String()
}
