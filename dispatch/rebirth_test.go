package dispatch_test

import (
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// awaitHold waits until the worker gets another hold.
func (w *fakeWorker) awaitHold() {
	for before := w.holdCount(); w.holdCount() == before; {
		time.Sleep(time.Millisecond)
	}
}

func (w *fakeWorker) holdCount() (holds int) {
	w.b.locked(func() { holds = w.holds })
	return holds
}

// TestOrderInFlightAsTheLeaderChangesIsWaitedFor guards against a second run where a restarted worker, which is not announced and never answers the new leader, executes a start of the former leader, and another order of it prolongs the lease.
func TestOrderInFlightAsTheLeaderChangesIsWaitedFor(t *testing.T) {
	for _, order := range []struct {
		name        string
		start, hold time.Duration // after which the worker executes them
	}{
		{name: "start", start: 580 * time.Millisecond},
		{name: "hold", start: 100 * time.Millisecond, hold: 580 * time.Millisecond},
		{name: "waiting_hold", start: 100 * time.Millisecond, hold: 1580 * time.Millisecond},
	} {
		t.Run(order.name, func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				time.Sleep(30 * time.Second)
				b.locked(func() { w.startDelay, w.executesHoldsAfter = order.start, order.hold })
				w.awaitHold()
				b.submit("lasting", "former", &wire.Step{Count: 4, Size: unit, Lasting: true})
				time.Sleep(40 * time.Millisecond)
				b.locked(func() { w.restart(); w.startDelay, w.executesHoldsAfter, w.losesHolds = 0, 0, true })
				b.lead(2)
				b.addWorker("w1", big)
				time.Sleep(20 * time.Second)
				assert.Equal(t, b.runningOf("former"), 4)
			})
		})
	}
}

// TestInheritedRunOutlastsASecondRestart guards against a second run where a worker restarts twice, and its third incarnation executes a start that its second, which has answered a hold and inherited the run, can't execute any more.
func TestInheritedRunOutlastsASecondRestart(t *testing.T) {
	for _, start := range []struct {
		name                        string
		delay                       time.Duration // after which the worker executes each try
		restart, announce, restart2 time.Duration // after the submission
	}{
		{"late", 3 * time.Second, 100 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond},
		{"second_try_in_flight", 590 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond},
	} {
		t.Run(start.name, func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				time.Sleep(30 * time.Second)
				b.locked(func() { w.startDelay = start.delay })
				b.submit("lasting", "former", &wire.Step{Count: 4, Size: unit, Lasting: true})
				time.Sleep(start.restart)
				b.locked(func() { w.restart(); w.losesStops, w.losesHolds = true, true })
				time.Sleep(start.announce - start.restart)
				b.locked(func() { w.startDelay, w.losesHolds = 0, false })
				w.announce()
				time.Sleep(start.restart2 - start.announce)
				b.locked(func() { w.restart(); w.losesHolds = true })
				b.addWorker("w1", big)
				time.Sleep(20 * time.Second)
				assert.Equal(t, b.runningOf("former"), 4)
			})
		})
	}
}

// TestStartExecutedAfterTheDepartureIsNoMissingRun guards against a second run where a departed worker starts again under its id and accepts a start in flight, while the listing that was requested from the former incarnation is on its way.
func TestStartExecutedAfterTheDepartureIsNoMissingRun(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		time.Sleep(30 * time.Second)
		b.locked(func() {
			w.hidesClock, w.startTransit, w.stopTime = true, 500*time.Millisecond, 900*time.Millisecond
		})
		b.submit("lasting", "job", &wire.Step{Count: 4, Size: unit, Lasting: true})
		time.Sleep(50 * time.Millisecond)
		b.addWorker("w1", big)
		b.locked(func() { w.holdDelay = 550 * time.Millisecond })
		go w.depart()
		time.Sleep(100 * time.Millisecond)
		b.locked(w.restart)
		time.Sleep(10 * time.Second)
		assert.Equal(t, b.runningOf("job"), 4)
	})
}

// TestStartInFlightIsWaitedForAsAWorkerDepartsUnderANewLeader guards against a second run where a worker departs and starts again under its id as the leader changes, and accepts a start of the former leader after the departed incarnation has listed its runs.
func TestStartInFlightIsWaitedForAsAWorkerDepartsUnderANewLeader(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		time.Sleep(30 * time.Second)
		b.locked(func() { w.startDelay = 580 * time.Millisecond })
		b.submit("lasting", "job", &wire.Step{Count: 4, Size: unit, Lasting: true})
		time.Sleep(40 * time.Millisecond)
		b.locked(func() { w.startDelay = 0 })
		b.depose()
		w.depart()
		b.addWorker("w1", big)
		b.lead(2)
		time.Sleep(40 * time.Millisecond)
		b.locked(w.restart)
		time.Sleep(20 * time.Second)
		assert.Equal(t, b.runningOf("job"), 4)
	})
}

// TestFirstTryOfAnEndedRunOverlapsNoLaterRun guards against two runs where a run that began at its second try fails or is stopped, its task starts elsewhere, and a later incarnation of its worker executes the first try.
func TestFirstTryOfAnEndedRunOverlapsNoLaterRun(t *testing.T) {
	for _, fails := range []bool{false, true} {
		t.Run(map[bool]string{true: "failed", false: "stopped"}[fails], func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				time.Sleep(30 * time.Second)
				b.locked(func() { w.failsTasks, w.slowdown = fails, 1000 }) // without progress, a run is stopped after 2 s
				if fails {
					b.locked(func() { w.slowdown = 4 })
				}
				b.submitWithLateFirstTry(w, "job")
				b.addWorker("w1", big)
				b.locked(func() { b.workers["w1"].slowdown = 10 })
				time.Sleep(3600 * time.Millisecond)
				b.locked(func() { w.restart(); w.losesHolds = true })
				time.Sleep(time.Second)
				b.locked(func() { w.losesHolds = false })
				w.announce()
				time.Sleep(30 * time.Second)
				assert.Equal(t, b.state("job"), workflow.StateCompleted)
			})
		})
	}
}
