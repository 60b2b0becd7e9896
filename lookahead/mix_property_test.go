package lookahead_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawMix draws a load from half empty to overloaded, with run times that may change during the run, so that what was learned becomes wrong.
func drawMix(t *rapid.T) mix {
	m := mix{
		seed:       rapid.Uint64().Draw(t, "seed"),
		workers:    rapid.IntRange(20, 40).Draw(t, "workers"),
		load:       rapid.Float64Range(0.5, 1.1).Draw(t, "load"),
		largeShare: rapid.Float64Range(0.1, 0.8).Draw(t, "largeShare"),
		slow:       rapid.SampledFrom([]float64{0, 0.03, 0.1}).Draw(t, "slow"),
		factor:     rapid.SampledFrom([]float64{1, 0.5, 2}).Draw(t, "factor"),
		length:     20 * time.Second,
	}
	if m.factor != 1 {
		m.shift = m.length / 2
	}
	return m
}

// runSeveral runs a mix with several draws of its arrivals and combines the results. A single draw differs by chance whenever one task moves.
func (m mix) runSeveral(ahead bool) *result {
	const draws = 6
	results, sum := make([]*result, draws), &result{}
	var all sync.WaitGroup
	for i := range draws {
		all.Go(func() {
			n := m
			n.seed += uint64(i)
			results[i] = n.run(ahead)
		})
	}
	all.Wait()
	for _, r := range results {
		sum.largeWaits = append(sum.largeWaits, r.largeWaits...)
		sum.smallWork, sum.unused = sum.smallWork+r.smallWork, sum.unused+r.unused/draws
		sum.made, sum.kept = sum.made+r.made, sum.kept+r.kept
		sum.longestReserved, sum.longestFirst = max(sum.longestReserved, r.longestReserved), max(sum.longestFirst, r.longestFirst)
		sum.overcommitted = sum.overcommitted || r.overcommitted
	}
	slices.Sort(sum.largeWaits)
	return sum
}

// Bounds of TestMixes.
const (
	maxReserved = 4 * time.Second  // twice the furthest start of a reservation
	maxFirst    = 12 * time.Second // for which no task of the step that has waited longest starts: a reservation that is given up, as long a pause, and one that is kept
	maxLostWork = 0.005            // share of the small tasks' work that counts as chance: one slow task is up to a thousandth of it
)

// TestMixes guards against lookahead that makes both the large tasks wait longer and the small tasks do less work, against capacity that is given twice, against reservations without end, and against starvation.
func TestMixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMix(t)
		without, with := m.runSeveral(false), m.runSeveral(true)
		assert.Assert(t, !with.overcommitted, "a worker was overcommitted")
		assert.Assert(t, with.longestReserved <= maxReserved+tick, "a reservation lasted %v", with.longestReserved)
		assert.Assert(t, with.longestFirst <= maxFirst, "no task of the first step started for %v", with.longestFirst)
		if len(without.largeWaits) == 0 {
			return
		}
		t.Logf("%+v: p50 %v -> %v, p95 %v -> %v, small work %.0f -> %.0f, unused %.4f -> %.4f first %v -> %v", m, without.largeAt(0.5), with.largeAt(0.5), without.largeAt(0.95), with.largeAt(0.95), without.smallWork, with.smallWork, without.unused, with.unused, without.longestFirst, with.longestFirst)
		largeWorse := with.largeAt(0.5) >= without.largeAt(0.5) && with.largeAt(0.95) > without.largeAt(0.95)
		assert.Assert(t, !largeWorse || with.smallWork >= (1-maxLostWork)*without.smallWork, "both large and small tasks are worse off")
	})
}
