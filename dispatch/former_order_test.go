package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// restartUnderOrders has a worker restart under its id, gives it a start that was meant for its former incarnation, and announces it.
func (b *testBench) restartUnderOrders(w *fakeWorker) {
	time.Sleep(5 * time.Second)
	b.locked(w.restart)
	b.submit("lasting", "former", &wire.Step{Count: 4, Size: unit, Lasting: true})
	time.Sleep(100 * time.Millisecond)
	b.locked(func() {
		assert.Assert(b.t, len(w.runs) > 0, "no order for the former incarnation reached the later one")
	})
	w.announce()
}

// startAndSilence has a worker that restarted start runs of its own and then fall silent, beside another that is added then.
func (b *testBench) startAndSilence(w *fakeWorker) {
	b.submit("lasting", "later", &wire.Step{Count: 8, Size: unit, Lasting: true})
	time.Sleep(400 * time.Millisecond)
	b.locked(func() {
		assert.Assert(b.t, len(w.runs) > 0, "nothing runs on the later incarnation")
		w.silent = true
	})
	b.addWorker("w1", big)
}

// TestLeaseGrantedByAnOrderForTheFormerIncarnationIsWaitedFor guards against a second run of a task that began on a restarted worker while a start meant for the former incarnation had granted it a longer lease.
func TestLeaseGrantedByAnOrderForTheFormerIncarnationIsWaitedFor(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("new leader %v", newLeader), func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				b.restartUnderOrders(b.workers["w0"])
				time.Sleep(300 * time.Millisecond)
				if newLeader {
					b.lead(2)
					time.Sleep(300 * time.Millisecond)
				}
				b.startAndSilence(b.workers["w0"])
				time.Sleep(10 * time.Second)
				assert.Equal(t, b.runningOf("later"), 8)
			})
		})
	}
}

// TestLateOrderForTheFormerIncarnationProlongsNoLease guards against a second run of a task on a restarted worker that executes a start for its former incarnation seconds after its first answers.
func TestLateOrderForTheFormerIncarnationProlongsNoLease(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		time.Sleep(5 * time.Second)
		b.locked(func() { w.startDelay = 3 * time.Second })
		b.submit("lasting", "former", &wire.Step{Count: 4, Size: unit, Lasting: true})
		time.Sleep(100 * time.Millisecond)
		b.locked(func() { w.restart(); w.startDelay = 0 })
		w.announce()
		time.Sleep(2 * time.Second)
		b.startAndSilence(w)
		time.Sleep(12 * time.Second)
		assert.Equal(t, b.runningOf("later"), 8)
	})
}

// TestLateHoldForTheFormerIncarnationForgetsNoEnds guards against a second run of a task that was done on a restarted worker, which a hold for its former incarnation had forget the end.
func TestLateHoldForTheFormerIncarnationForgetsNoEnds(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		b.submit("short", "earlier", short(5))
		time.Sleep(3 * time.Second)
		b.locked(func() { w.executesHoldsAfter = 2 * time.Second })
		time.Sleep(1200 * time.Millisecond)
		b.locked(func() { w.restart(); w.executesHoldsAfter = 0 })
		w.announce()
		time.Sleep(500 * time.Millisecond)
		b.locked(func() { w.lostAnswers = 100 })
		b.submit("short", "later", short(5))
		time.Sleep(3 * time.Second)
		b.locked(func() { w.lostAnswers = 0 })
		time.Sleep(10 * time.Second)
		assert.Equal(t, b.state("later"), workflow.StateCompleted)
		for i := range 5 {
			assert.Equal(t, b.runCount(fmt.Sprintf("later.0.0.%d", i)), 1, "the task ran again after it was done")
		}
	})
}

// TestRunsOfALaterIncarnationThatIsNeverHeardOutlastItsLastOrder guards against a second run of a task whose lease a later start for the former incarnation has prolonged, on a restarted worker that never lists its runs.
func TestRunsOfALaterIncarnationThatIsNeverHeardOutlastItsLastOrder(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		b.locked(func() { w.hidesClock = true })
		time.Sleep(5 * time.Second)
		b.locked(w.restart)
		b.submit("lasting", "first", &wire.Step{Count: 6, Size: unit, Lasting: true})
		time.Sleep(1300 * time.Millisecond)
		b.submit("lasting", "second", &wire.Step{Count: 6, Size: unit, Lasting: true})
		time.Sleep(50 * time.Millisecond)
		b.locked(func() {
			assert.Equal(t, len(w.runs), 12)
			w.silent = true
		})
		b.addWorker("w1", big)
		time.Sleep(10 * time.Second)
		assert.Equal(t, b.runningOf("first"), 6)
		assert.Equal(t, b.runningOf("second"), 6)
	})
}

// TestStrayRunsOfAWorkerTakeItsRoom guards against starts beyond the room of a worker that lists runs which are not committed to it, until they have been stopped.
func TestStrayRunsOfAWorkerTakeItsRoom(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		time.Sleep(15 * time.Second)
		b.locked(func() { w.startDelay, w.stopTime = 9*time.Second, 900*time.Millisecond })
		b.submit("lasting", "former", &wire.Step{Count: 10, Size: unit, Lasting: true})
		time.Sleep(100 * time.Millisecond)
		b.locked(func() { w.restart(); w.startDelay, w.silent = 0, true })
		time.Sleep(9500 * time.Millisecond)
		b.locked(func() {
			assert.Equal(t, len(w.runs), 10)
			w.silent = false
		})
		b.apply(&wire.WorkflowCommand{Cancel: "former"})
		w.announce()
		b.submit("lasting", "other", &wire.Step{Count: 16, Size: unit, Lasting: true})
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			b.locked(func() { assert.Assert(b.t, len(w.runs) <= 16, "%d tasks of one core on 16 cores", len(w.runs)) })
		}
	})
}

// TestWorkerThatRefusesTheFencingTokenGetsNoTasks guards against tasks that stay committed for good to a worker that answered before and refuses this leader's fencing token since.
func TestWorkerThatRefusesTheFencingTokenGetsNoTasks(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		time.Sleep(3 * time.Second)
		b.locked(func() { w.fence = 9 }) // as a relay of the build before would leave it: orders with a lower token
		b.addWorker("w1", big)
		time.Sleep(2 * time.Second)
		b.submit("lasting", "stuck", &wire.Step{Count: 8, Size: unit, Lasting: true})
		time.Sleep(60 * time.Second)
		assert.Equal(t, b.runningOf("stuck"), 8)
	})
}

// TestWorkerThatRefusesTheFencingTokenKeepsNoTasks guards against tasks that stay committed for good to a worker that refuses this leader's fencing token, as where a former leader's replica counted more restarts.
func TestWorkerThatRefusesTheFencingTokenKeepsNoTasks(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		for range 4 {
			time.Sleep(2 * time.Second)
			b.locked(w.restart)
			w.announce()
		}
		time.Sleep(time.Second)
		b.submit("lasting", "held", &wire.Step{Count: 4, Size: unit, Lasting: true})
		time.Sleep(time.Second)
		assert.Equal(t, b.runningOf("held"), 4)
		b.depose()
		b.table.View(func(t *workflow.Tables) { t.Workers["w0"].Restarts = 1 }) // a replica that counts from an older snapshot
		b.lead(2)
		b.addWorker("w1", big)
		time.Sleep(60 * time.Second)
		assert.Equal(t, b.runningOf("held"), 4)
	})
}

// TestLateStartOnAnAnnouncedIncarnationThatIsNeverHeardRunsAlone guards against a second run of a task whose start for the former incarnation is executed seconds late by a later one that was announced and has not answered.
func TestLateStartOnAnAnnouncedIncarnationThatIsNeverHeardRunsAlone(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("new leader %v", newLeader), func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				time.Sleep(5 * time.Second)
				b.locked(func() { w.startDelay = 6 * time.Second })
				b.submit("lasting", "former", &wire.Step{Count: 10, Size: unit, Lasting: true})
				time.Sleep(100 * time.Millisecond)
				b.locked(func() { w.restart(); w.startDelay, w.silent = 0, true })
				w.announce()
				b.addWorker("w1", big)
				if newLeader {
					b.lead(2)
				}
				time.Sleep(25 * time.Second)
				assert.Equal(t, b.runningOf("former"), 10)
			})
		})
	}
}

// TestHoldForTheFormerIncarnationInFlightIsWaitedFor guards against a second run where a hold for the former incarnation, which is still within its time limit, prolongs the lease of a later one that is announced and never answers.
func TestHoldForTheFormerIncarnationInFlightIsWaitedFor(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		t.Run(map[bool]string{true: "new leader", false: "same leader"}[newLeader], func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				time.Sleep(29700 * time.Millisecond)
				b.locked(func() { w.executesHoldsAfter = 1550 * time.Millisecond })
				time.Sleep(150 * time.Millisecond)
				b.locked(func() { w.restart(); w.executesHoldsAfter = 0 })
				b.submit("lasting", "former", &wire.Step{Count: 4, Size: unit, Lasting: true})
				time.Sleep(60 * time.Millisecond)
				b.locked(func() { assert.Equal(t, len(w.runs), 4); w.silent = true })
				w.announce()
				if newLeader {
					b.lead(2)
				}
				b.addWorker("w1", big)
				time.Sleep(15 * time.Second)
			})
		})
	}
}

// TestRunAcceptedAtItsSecondTryOutlastsTheFirst guards against a second run where a run was accepted at the second try, and the first try is executed by a later incarnation that is not announced.
func TestRunAcceptedAtItsSecondTryOutlastsTheFirst(t *testing.T) {
	for _, announced := range []bool{false, true} {
		t.Run(map[bool]string{true: "announced", false: "not announced"}[announced], func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				time.Sleep(5 * time.Second)
				b.locked(func() { w.startDelay = 2 * time.Second })
				b.submit("lasting", "former", &wire.Step{Count: 4, Size: unit, Lasting: true})
				time.Sleep(100 * time.Millisecond)
				b.locked(func() { w.startDelay = 0 })
				time.Sleep(1500 * time.Millisecond)
				b.locked(w.restart)
				time.Sleep(450 * time.Millisecond)
				if announced {
					w.announce()
				}
				b.locked(func() { w.silent = true })
				b.addWorker("w1", big)
				time.Sleep(15 * time.Second)
			})
		})
	}
}

// TestLateStartOnAnUnannouncedIncarnationThatAnswersRunsAlone guards against a second run where a restarted worker, whose announcement is late but which answers holds, executes a start for its former incarnation after the lapse.
func TestLateStartOnAnUnannouncedIncarnationThatAnswersRunsAlone(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		time.Sleep(30 * time.Second)
		b.locked(func() { w.startDelay = 9 * time.Second })
		b.submit("lasting", "former", &wire.Step{Count: 4, Size: unit, Lasting: true})
		time.Sleep(100 * time.Millisecond)
		b.locked(func() { w.restart(); w.startDelay, w.losesStarts = 0, true })
		b.addWorker("w1", big)
		time.Sleep(20 * time.Second)
		b.locked(func() { assert.Assert(t, w.fence > 0, "it has not answered the leader") })
	})
}

// TestLateFirstTryIsNotExecutedAfterTheRunWasDone guards against a start after a run has ended as done and was noted, where the first try of its start is executed late by a later incarnation.
func TestLateFirstTryIsNotExecutedAfterTheRunWasDone(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		time.Sleep(5 * time.Second)
		b.locked(func() { w.startDelay = 4 * time.Second })
		b.submit("short", "former", short(1))
		time.Sleep(100 * time.Millisecond)
		b.locked(func() { w.startDelay = 0 })
		time.Sleep(2900 * time.Millisecond)
		assert.Equal(t, b.state("former"), workflow.StateCompleted)
		b.locked(w.restart)
		time.Sleep(1200 * time.Millisecond)
		w.announce()
		time.Sleep(10 * time.Second)
		assert.Equal(t, b.runCount("former.0.0.0"), 1)
	})
}

// TestStoppedRunDoesNotStartOnALaterIncarnation guards against a second run where the incarnation that was told to stop a run restarts, and the next one executes the start 2.7 s late, before it has answered anything.
func TestStoppedRunDoesNotStartOnALaterIncarnation(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		time.Sleep(30 * time.Second)
		b.locked(func() { w.startDelay = 2700 * time.Millisecond })
		b.submit("lasting", "former", &wire.Step{Count: 4, Size: unit, Lasting: true})
		time.Sleep(100 * time.Millisecond)
		b.locked(func() { w.restart(); w.startDelay, w.refusesStarts = 0, true })
		b.addWorker("w1", big)
		w.announce()
		time.Sleep(2 * time.Second) // its tasks are stopped, not listed and placed again
		assert.Equal(t, b.runningOf("former"), 4)
		b.locked(w.restart)
		time.Sleep(time.Second)
		w.announce()
		time.Sleep(10 * time.Second)
	})
}

// TestHoldInFlightForgetsNoEndsOfALaterIncarnation guards against a second run of a task that was done on a restarted worker, whose end a hold for the former incarnation acknowledged within its time limit.
func TestHoldInFlightForgetsNoEndsOfALaterIncarnation(t *testing.T) {
	for after := 100; after <= 1000; after += 100 {
		t.Run(fmt.Sprintf("restart after %d ms", after), func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				b.submit("short", "earlier", short(5))
				time.Sleep(29700 * time.Millisecond)
				b.locked(func() { w.executesHoldsAfter = 1550 * time.Millisecond })
				time.Sleep(time.Duration(after) * time.Millisecond)
				b.locked(func() { w.restart(); w.executesHoldsAfter = 0 })
				b.submit("short", "later", short(2))
				time.Sleep(1550 * time.Millisecond)
				w.announce()
				time.Sleep(10 * time.Second)
				assert.Equal(t, b.state("later"), workflow.StateCompleted)
				for i := range 2 {
					assert.Equal(t, b.runCount(fmt.Sprintf("later.0.0.%d", i)), 1, "the task ran again after it was done")
				}
			})
		})
	}
}
