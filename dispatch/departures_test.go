package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// TestRandomDeparturesRunNothingTwice checks, over workers that leave one after the other while answers get lost or come late, records with ends are committed late and the leader changes, that no task runs twice at a time, that none runs again after it was done on a worker that answers until it is removed, and that every worker is removed.
func TestRandomDeparturesRunNothingTwice(t *testing.T) {
	for seed := range uint64(40) {
		runOnBench(t, 3, big, func(b *testBench) {
			random := rand.New(rand.NewPCG(seed, 2))
			var left []*fakeWorker
			for i := range 8 {
				w := b.workers[fmt.Sprint("w", i)]
				for k := range 1 + random.IntN(4) {
					b.submit("short", fmt.Sprintf("s%d.%d", i, k), short(int32(1+random.IntN(8))), short(3, 0))
				}
				b.locked(func() {
					b.endsDelay = time.Duration(random.IntN(2)*random.IntN(600)) * time.Millisecond
					w.lostAnswers, w.endsAtATime = random.IntN(3), random.IntN(3)
					w.holdDelay = time.Duration(random.IntN(2)*random.IntN(500)) * time.Millisecond
					w.startDelay = time.Duration(random.IntN(2)*random.IntN(500)) * time.Millisecond
				})
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				b.addWorker(fmt.Sprint("w", i+3), big)
				if random.IntN(3) == 0 {
					b.leadBesideDeposed(uint64(2*i+2), time.Duration(random.IntN(500))*time.Millisecond)
				}
				w.leave(0)
				b.locked(func() { w.silent = false }) // it answers on, without runs that it has not listed as ended
				if random.IntN(3) == 0 {
					b.leadBesideDeposed(uint64(2*i+3), time.Duration(random.IntN(500))*time.Millisecond)
				}
				left = append(left, w)
			}
			time.Sleep(10 * time.Second)
			for _, w := range left {
				assert.Assert(t, !w.inState(), "seed %d: %s is still in the state", seed, w.record.GetId())
			}
			b.table.View(func(v *workflow.Tables) {
				for id, j := range v.Jobs {
					assert.Equal(t, j.State(), workflow.StateCompleted, "seed %d: %s", seed, id)
				}
			})
			b.locked(func() {
				for name, runs := range b.doneRuns {
					assert.Equal(t, runs, 1, "seed %d: %s", seed, name)
				}
			})
		})
	}
}
