package pick_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"daisyswitch/pick"
	"daisyswitch/simulation"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPickMeetsTargets checks the product's policy against its latency targets on one seed; the simulation is deterministic.
func TestPickMeetsTargets(t *testing.T) {
	const requests, seed = 80_000, 7
	for _, sc := range simulation.Scenarios(50, 3) {
		p99 := func(p simulation.Policy) float64 {
			return float64(simulation.Run(sc, p, seed, requests).Latency.ValueAtPercentile(99))
		}
		switch sc.Name {
		case "80%", "80%, even service":
			assert.Assert(t, p99(simulation.EntryPolicy) <= 1.3*p99(simulation.Ideal), sc.Name)
		case "80%, one slow":
			assert.Assert(t, p99(simulation.EntryPolicy) <= 0.5*p99(simulation.RoundRobin))
		}
	}
}

// BenchmarkPick prints the table of docs/design/03-requests.md, with medians over the seeds.
func BenchmarkPick(b *testing.B) {
	const requests, seeds = 100_000, 5
	for _, size := range [][2]int{{50, 3}, {65, 4}} {
		b.Run(fmt.Sprint(size[0]), func(b *testing.B) {
			p99 := map[string]float64{}
			for b.Loop() {
				for _, sc := range simulation.Scenarios(size[0], size[1]) {
					for _, p := range append([]simulation.Policy{simulation.Ideal, simulation.EntryPolicy, simulation.RoundRobin}, simulation.Others...) {
						line, ms := tableRow(sc, p, requests, seeds)
						fmt.Println(line)
						p99[sc.Name+p.Name] = ms
					}
				}
			}
			b.ReportMetric(p99["80%"+simulation.EntryPolicy.Name]/p99["80%"+simulation.Ideal.Name], "p99/ideal")
			b.ReportMetric(p99["80%, one slow"+simulation.EntryPolicy.Name]/p99["80%, one slow"+simulation.RoundRobin.Name], "slow-p99/robin")
		})
	}
}

func tableRow(sc simulation.Scenario, p simulation.Policy, requests, seeds int) (line string, p99 float64) {
	runs := make([]simulation.Result, seeds)
	var group sync.WaitGroup
	for i := range runs {
		group.Go(func() { runs[i] = simulation.Run(sc, p, uint64(i+1), requests) })
	}
	group.Wait()
	line = fmt.Sprintf("| %d, %s | %s |", sc.Executors, sc.Name, p.Name)
	for _, percentile := range []float64{50, 99, 99.9} {
		var values []float64
		for _, s := range runs {
			values = append(values, float64(s.Latency.ValueAtPercentile(percentile))/1000)
		}
		slices.Sort(values)
		line += fmt.Sprintf(" %.1f (%.1f to %.1f) |", values[seeds/2], values[0], values[seeds-1])
		if percentile == 99 {
			p99 = values[seeds/2]
		}
	}
	refused := 0
	for _, s := range runs {
		refused += s.Refused
	}
	return line + fmt.Sprintf(" %d |", refused), p99
}

var epoch = time.Unix(1_000_000, 0)

// TestEjectionIsBounded lets any set of upstreams fail or be slow. It expects that never more than MaxEjectedPercent are ejected,
// that only outliers are ejected, and that all are readmitted.
func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 65).Draw(t, "upstreams")
		now := epoch
		candidates := make([]*pick.Candidate, n)
		faults := make([]int, n)
		for i := range candidates {
			candidates[i] = &pick.Candidate{}
			faults[i] = rapid.IntRange(0, 2).Draw(t, "fault") // none, slow, failing
		}
		maxEjected := max(n*pick.MaxEjectedPercent/100, min(1, n/3))
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			for i, c := range candidates {
				switch faults[i] {
				case 0:
					c.RecordResponse(20 * time.Millisecond)
				case 1:
					c.RecordResponse(200 * time.Millisecond)
				case 2:
					c.RecordFailure()
				}
			}
			pick.Assess(now, candidates)
			ejected := 0
			for i, c := range candidates {
				if c.Ejected {
					ejected++
					assert.Assert(t, faults[i] != 0)
				}
			}
			assert.Assert(t, ejected <= maxEjected, "%d of %d ejected", ejected, n)
		}
		now = now.Add(time.Minute)
		for range 2 {
			for i := range candidates {
				candidates[i].Failures = 0
				candidates[i].Samples = 0
			}
			pick.Assess(now, candidates)
		}
		for _, c := range candidates {
			assert.Assert(t, !c.Ejected)
		}
	})
}

// TestQuotasDivideAllSlots checks for any entries and upstreams that each slot is assigned to exactly one entry,
// and that a domain without surplus slots keeps them for its own entries.
func TestQuotasDivideAllSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		var entries []pick.Member
		for i := range rapid.IntRange(1, 9).Draw(t, "entries") {
			entries = append(entries, pick.Member{Name: fmt.Sprint("e", i), Domain: domains.Draw(t, "domain")})
		}
		var upstreams []pick.Share
		for i := range rapid.IntRange(0, 20).Draw(t, "upstreams") {
			upstreams = append(upstreams, pick.Share{ID: fmt.Sprint("u", i), Domain: domains.Draw(t, "domain"), Slots: 8})
		}
		sums := make([]int32, len(upstreams))
		for first, e := range entries {
			known := slices.Concat(entries[first:], entries[:first]) // each entry lists them in a different order
			for i, quota := range pick.Quotas(e, known, upstreams) {
				sums[i] += quota
			}
		}
		for i, sum := range sums {
			assert.Equal(t, sum, upstreams[i].Slots)
		}
	})
	quotas := pick.Quotas(pick.Member{Name: "e", Domain: "a"}, []pick.Member{{Name: "e", Domain: "a"}, {Name: "f", Domain: "b"}},
		[]pick.Share{{ID: "u", Domain: "a", Slots: 8}, {ID: "v", Domain: "b", Slots: 8}})
	assert.DeepEqual(t, quotas, []int32{8, 0})
}

// TestOutlierIsEjected expects a failing and a slow upstream among ten to be ejected while the others stay.
func TestOutlierIsEjected(t *testing.T) {
	candidates := make([]*pick.Candidate, 10)
	for i := range candidates {
		candidates[i] = &pick.Candidate{}
	}
	for range 30 {
		for i, c := range candidates {
			switch i {
			case 3:
				c.RecordFailure()
			case 4:
				c.RecordResponse(time.Second)
			default:
				c.RecordResponse(20 * time.Millisecond)
			}
		}
	}
	pick.Assess(epoch, candidates)
	for i, c := range candidates {
		assert.Equal(t, c.Ejected, i == 3 || i == 4, "%d", i)
	}
}
