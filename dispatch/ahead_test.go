package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"daisyswitch/wire"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// largeStarts keeps a pool full of small tasks, submits a workflow of large ones, and returns when its first task starts, how many runs have begun in the end, and the metrics.
func largeStarts(t *testing.T, lookahead bool) (first time.Duration, runs int, set *metrics.Set) {
	const submitEvery, length, before = 11 * time.Millisecond, 20 * time.Second, 400 // small workflows before the large one; they use 0.96 of the pool
	runOnBench(t, 4, big, func(b *testBench) {
		b.depose()
		b.lookahead, b.metrics = lookahead, metrics.NewSet()
		set = b.metrics
		b.lead(2)
		first = length
		began := time.Time{}
		for i := range int(length / submitEvery) {
			small := short(1)
			small.ExpectedMs = int64(500 + 37*(i%9))
			b.submit("short", fmt.Sprint("small", i), small)
			if i == before {
				b.submit("short", "large", &wire.Step{Count: 3, Size: &wire.Size{MilliCpu: 5000, MemoryMib: 1000}, ExpectedMs: 1000})
				began = time.Now()
			}
			time.Sleep(submitEvery)
			if i >= before && b.runCount("large.0.0.0") > 0 {
				first = min(first, time.Since(began))
			}
		}
		b.locked(func() { runs = len(b.begunRuns) })
	})
	return first, runs, set
}

// TestLargeTaskStartsInAFullPool guards against large tasks that wait as long as there are small ones, and against a loss of more than a twentieth of all runs for it.
func TestLargeTaskStartsInAFullPool(t *testing.T) {
	without, runsWithout, _ := largeStarts(t, false)
	with, runsWith, set := largeStarts(t, true)
	t.Logf("first start %v without, %v with lookahead; runs %d and %d", without, with, runsWithout, runsWith)
	assert.Assert(t, without > 4*time.Second, "the large task starts after %v by itself", without)
	assert.Assert(t, with < 3*time.Second, "the large task starts after %v only", with)
	assert.Assert(t, runsWith > runsWithout*95/100, "%d runs instead of %d", runsWith, runsWithout)
	assert.Assert(t, set.GetOrCreateCounter(`daisyswitch_reservations_ended_total{outcome="kept"}`).Get() > 0)
}
