package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// leadBesideDeposed starts a loop of a later leader while the present one goes on for a while: it is not confirmed to lead any more, or believes that it still is, and commits nothing.
func (b *testBench) leadBesideDeposed(fence uint64, overlap time.Duration) {
	deposed, ended := b.cancel, b.ended
	former := b.current
	former.Store(false)
	b.current = &atomic.Bool{}
	b.current.Store(true)
	b.loop.Store(b.newLoop())
	b.loop.Load().SetTable(b.table)
	ctx, cancel := context.WithCancel(b.t.Context())
	b.cancel, b.ended = cancel, make(chan struct{})
	loop, done := b.loop.Load(), b.ended
	go func() {
		defer close(done)
		loop.Run(ctx, fence)
	}()
	time.Sleep(overlap)
	deposed()
	<-ended
}

// TestDeposedLeaderThatGoesOnStartsNothingTwice checks, over many hand-overs of which some are planned and some leave the former leader at work for seconds, beside workers that are silent or carry starts out late, that no task runs twice at a time.
func TestDeposedLeaderThatGoesOnStartsNothingTwice(t *testing.T) {
	for seed := range uint64(30) {
		runOnBench(t, 3, big, func(b *testBench) {
			random := rand.New(rand.NewPCG(seed, 1))
			b.submit("lasting", "feed", &wire.Step{Count: 12, Size: unit, Lasting: true})
			for fence := uint64(2); fence < 8; fence++ {
				for i := range 1 + random.IntN(6) {
					b.submit("short", fmt.Sprintf("s%d.%d", fence, i), short(4), short(3, 0))
				}
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				w := b.workers[fmt.Sprint("w", random.IntN(3))]
				silent := b.workers[fmt.Sprint("w", random.IntN(3))]
				b.locked(func() {
					w.startDelay = time.Duration(random.IntN(2)*random.IntN(3000)) * time.Millisecond
					silent.silent = random.IntN(2) == 0
				})
				b.leadBesideDeposed(fence, time.Duration(random.IntN(2)*random.IntN(3000))*time.Millisecond)
				b.locked(func() { w.startDelay, silent.silent = 0, false })
			}
			time.Sleep(10 * time.Second)
			for fence := uint64(2); fence < 8; fence++ {
				if state := b.state(fmt.Sprintf("s%d.0", fence)); state != workflow.StateCompleted {
					t.Errorf("seed %d: workflow s%d.0 is %s after all hand-overs", seed, fence, state)
				}
			}
		})
	}
}
