package pick_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"daisyswitch/simulation"

	"gotest.tools/v3/assert"
)

// TestPickMeetsTargets holds the product's policy to its targets on one seed; all follows from the seed.
func TestPickMeetsTargets(t *testing.T) {
	const requests, seed = 80_000, 7
	for _, sc := range simulation.Scenarios(50, 3) {
		p99 := func(p simulation.Policy) float64 {
			return float64(simulation.Run(sc, p, seed, requests).Latency.ValueAtPercentile(99))
		}
		switch sc.Name {
		case "80%", "80%, even service":
			assert.Assert(t, p99(simulation.Product) <= 1.3*p99(simulation.Ideal), sc.Name)
		case "80%, one slow":
			assert.Assert(t, p99(simulation.Product) <= 0.5*p99(simulation.RoundRobin))
		}
	}
}

// BenchmarkPick prints the table of docs/design/03-requests.md: medians over the seeds.
func BenchmarkPick(b *testing.B) {
	const requests, seeds = 100_000, 5
	for _, size := range [][2]int{{50, 3}, {65, 4}} {
		b.Run(fmt.Sprint(size[0]), func(b *testing.B) {
			for b.Loop() {
				for _, sc := range simulation.Scenarios(size[0], size[1]) {
					for _, p := range append([]simulation.Policy{simulation.Ideal, simulation.Product, simulation.RoundRobin}, simulation.Others...) {
						fmt.Println(row(sc, p, requests, seeds))
					}
				}
			}
		})
	}
}

func row(sc simulation.Scenario, p simulation.Policy, requests, seeds int) string {
	runs := make([]simulation.Result, seeds)
	var group sync.WaitGroup
	for i := range runs {
		group.Go(func() { runs[i] = simulation.Run(sc, p, uint64(i+1), requests) })
	}
	group.Wait()
	var line strings.Builder
	fmt.Fprintf(&line, "| %d, %s | %s |", sc.Executors, sc.Name, p.Name)
	for _, percentile := range []float64{50, 99, 99.9} {
		var values []float64
		for _, s := range runs {
			values = append(values, float64(s.Latency.ValueAtPercentile(percentile))/1000)
		}
		slices.Sort(values)
		fmt.Fprintf(&line, " %.1f (%.1f to %.1f) |", values[seeds/2], values[0], values[seeds-1])
	}
	refused := 0
	for _, s := range runs {
		refused += s.Refused
	}
	fmt.Fprintf(&line, " %d |", refused)
	return line.String()
}
