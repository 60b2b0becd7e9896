package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

var (
	big  = &wire.Size{MilliCpu: 16000, MemoryMib: 64000}
	unit = &wire.Size{MilliCpu: 1000, MemoryMib: 1000}
)

func short(count int32, after ...int32) *wire.Step {
	return &wire.Step{Count: count, Size: unit, ExpectedMs: 500, After: after}
}

func TestStepsRunInOrder(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		b.submit("short", "job", short(4), short(2, 0))
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, b.runCount("job.0.0.0"), 1)
		assert.Equal(t, b.runCount("job.0.1.0"), 0, "a step began before the one it waits for was done")
		assert.Equal(t, b.state("job"), workflow.StateRunning)
		time.Sleep(1200 * time.Millisecond)
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
	})
}

func TestNothingBeyondRoom(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		b.submit("short", "job", short(40))
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, b.runningOf("job") <= 16, "%d tasks of one core on 16 cores", b.runningOf("job"))
		}
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
	})
}

// TestTaskMovesOnlyOnceItsLeaseHasEnded guards against a second run of a task whose worker does not answer, since the worker continues the first run until its lease expires.
func TestTaskMovesOnlyOnceItsLeaseHasEnded(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		b.submit("lasting", "job", &wire.Step{Count: 1, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, b.runCount("job.0.0.0"), 1)
		for _, w := range b.workers {
			b.locked(func() { w.silent = len(w.runs) > 0 })
		}
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, b.runCount("job.0.0.0"), 1, "moved while it may have run")
		time.Sleep(lease)
		assert.Equal(t, b.runCount("job.0.0.0"), 2, "not moved after its lease had ended")
	})
}

// TestSilentWorkerIsToldToForgetNothing guards against acknowledging ends to a worker that does not answer, since it may have restarted under its name and number its ends from 1 again.
func TestSilentWorkerIsToldToForgetNothing(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		b.submit("short", "job", short(3))
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
		b.locked(func() { b.workers["w0"].silent = true })
		time.Sleep(5 * time.Second)
		b.locked(func() {
			holdsWhileSilent := b.workers["w0"].holdsWhileSilent
			assert.Assert(t, len(holdsWhileSilent) > 2)
			for _, h := range holdsWhileSilent[1:] {
				assert.Equal(t, h.Noted, int64(0))
			}
		})
	})
}

// TestLateStartDoesNotRunBesideAnother guards against two runs of a task when an unanswered start is carried out seconds later.
func TestLateStartDoesNotRunBesideAnother(t *testing.T) {
	for _, startDelay := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second, 7 * time.Second} {
		t.Run(startDelay.String(), func(t *testing.T) {
			runOnBench(t, 3, big, func(b *testBench) {
				b.locked(func() { b.workers["w0"].startDelay, b.workers["w1"].startDelay = startDelay, startDelay })
				b.submit("short", "job", short(12))
				time.Sleep(3 * time.Second)
				b.locked(func() { b.workers["w0"].startDelay, b.workers["w1"].startDelay = 0, 0 })
				time.Sleep(10 * time.Second)
				assert.Equal(t, b.state("job"), workflow.StateCompleted)
				for i := range 12 {
					assert.Equal(t, b.runCount(fmt.Sprintf("job.0.0.%d", i)), 1)
				}
			})
		})
	}
}

func TestNewLeaderKeepsWhatRuns(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		b.submit("lasting", "job", &wire.Step{Count: 6, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		b.lead(2)
		time.Sleep(8 * time.Second)
		for i := range 6 {
			assert.Equal(t, b.runCount(fmt.Sprintf("job.0.0.%d", i)), 1, "restarted by the new leader")
		}
		assert.Equal(t, b.runningOf("job"), 6)
	})
}

// TestLeaderThatIsConfirmedLateGoesOn guards against a leader that stops calling workers for good after its quorum has answered late.
func TestLeaderThatIsConfirmedLateGoesOn(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		b.submit("lasting", "job", &wire.Step{Count: 6, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		for range 10 {
			b.locked(func() { b.confirmed = false })
			time.Sleep(150 * time.Millisecond)
			b.locked(func() { b.confirmed = true })
			time.Sleep(650 * time.Millisecond)
		}
		assert.Equal(t, b.runningOf("job"), 6)
		assert.Equal(t, b.runCount("job.0.0.0"), 1)
		b.submit("short", "more", short(4))
		time.Sleep(time.Second)
		assert.Equal(t, b.state("more"), workflow.StateCompleted)
	})
}

func TestCancelledWorkflowStops(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		b.submit("lasting", "job", &wire.Step{Count: 6, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		b.apply(&wire.WorkflowCommand{Cancel: "job"})
		time.Sleep(900 * time.Millisecond)
		assert.Equal(t, b.runningOf("job"), 0)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.runCount("job.0.0.0"), 1)
	})
}

func TestWorkflowFailsAfterItsAttempts(t *testing.T) {
	runOnBench(t, 4, big, func(b *testBench) {
		for _, w := range b.workers {
			b.locked(func() { w.failsTasks = true })
		}
		b.submit("short", "job", short(1))
		time.Sleep(20 * time.Second)
		assert.Equal(t, b.state("job"), workflow.StateFailed)
		assert.Equal(t, b.runCount("job.0.0.0"), 3)
	})
}

func TestLeavingWorkerGetsNothingAndGivesUpLastingTasks(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		b.submit("lasting", "job", &wire.Step{Count: 2, Size: unit, Lasting: true, MaxPerWorker: 2})
		time.Sleep(500 * time.Millisecond)
		w := b.workers["w0"]
		leaving := &wire.CalledWorker{Id: "w0", Born: 1, Address: "w0:1", Pool: pool, Domain: "d", Capacity: big, Leaving: true}
		b.apply(&wire.WorkflowCommand{Workers: []*wire.CalledWorker{leaving}})
		time.Sleep(time.Second)
		b.locked(func() { assert.Equal(t, len(w.runs), 0) })
		assert.Equal(t, b.runningOf("job"), 2)
		b.submit("short", "more", short(20))
		time.Sleep(300 * time.Millisecond)
		b.locked(func() { assert.Equal(t, len(w.runs), 0, "started on a worker that leaves") })
	})
}

// TestLastingTaskGetsRoomBeforeShortOnes guards against short tasks of a full pool that take each piece of room that becomes free.
func TestLastingTaskGetsRoomBeforeShortOnes(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		for i := range 600 {
			step := short(1)
			step.ExpectedMs = int64(300 + i%23*41)
			b.submit("short", fmt.Sprintf("short%d", i), step)
		}
		time.Sleep(time.Second)
		b.submit("lasting", "job", &wire.Step{Count: 2, Size: &wire.Size{MilliCpu: 8000, MemoryMib: 1000}, Lasting: true})
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.runningOf("job"), 2)
	})
}

// TestEachLastingWorkflowGetsOneTaskBeforeOthersGetMore guards against lasting workflows without a running task while others run several, since one running task already serves users.
func TestEachLastingWorkflowGetsOneTaskBeforeOthersGetMore(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		b.submitTogether(func() {
			for i := range 4 {
				b.submit("lasting", fmt.Sprint("job", i), &wire.Step{Count: 4, Size: &wire.Size{MilliCpu: 4000, MemoryMib: 1000}, Lasting: true})
			}
		})
		time.Sleep(time.Second)
		for i := range 4 {
			assert.Equal(t, b.runningOf(fmt.Sprint("job", i)), 1)
		}
	})
}

// TestShortTasksGoBeforeFurtherLastingOnes guards against short tasks that wait behind further lasting ones, although they end soon and are worth more for their room.
func TestShortTasksGoBeforeFurtherLastingOnes(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		b.submitTogether(func() {
			b.submit("lasting", "job", &wire.Step{Count: 5, Size: &wire.Size{MilliCpu: 4000, MemoryMib: 1000}, Lasting: true})
			b.submit("short", "short", short(4))
		})
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, b.runCount("short.0.0.0"), 1)
		assert.Equal(t, b.runningOf("job"), 3)
	})
}

// TestFurtherLastingTaskWaitsAShortWhileOnly guards against further lasting tasks that starve under a steady stream of short ones, which never leave a large enough free piece by themselves.
func TestFurtherLastingTaskWaitsAShortWhileOnly(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		submitShort := func(i int) {
			b.submit("short", fmt.Sprint("short", i), short(1))
			time.Sleep(25 * time.Millisecond)
		}
		for i := range 40 {
			submitShort(i)
		}
		b.submit("lasting", "job", &wire.Step{Count: 2, Size: &wire.Size{MilliCpu: 10000, MemoryMib: 1000}, Lasting: true})
		for i := range 160 {
			submitShort(100 + i)
			if i == 120 {
				assert.Equal(t, b.runningOf("job"), 2)
			}
		}
	})
}

// TestSilentWorkerIsNotTakenForStill guards against taking tasks for stalled while their worker does not answer.
func TestSilentWorkerIsNotTakenForStill(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		for i := range 3 {
			b.submit("short", fmt.Sprint("job", i), &wire.Step{Count: 2, Size: unit, ExpectedMs: 6000})
		}
		time.Sleep(1500 * time.Millisecond) // so that they are listed
		b.locked(func() { b.workers["w0"].silent = true })
		time.Sleep(2300 * time.Millisecond)
		b.locked(func() { b.workers["w0"].silent = false })
		time.Sleep(6 * time.Second)
		for i := range 3 {
			assert.Equal(t, b.state(fmt.Sprint("job", i)), workflow.StateCompleted)
			assert.Equal(t, b.runCount(fmt.Sprintf("job%d.0.0.0", i)), 1)
		}
	})
}

// TestSlowedTaskIsNotTakenForStill guards against taking a filling task for stalled whose pace was set to 0 for a serving task beside it.
func TestSlowedTaskIsNotTakenForStill(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		b.locked(func() {
			w.tailOf = func(workflow.Name) float64 { return 10 }
		})
		b.submit("lasting", "serve", &wire.Step{Count: 1, Size: unit, Lasting: true, TargetMs: 40, Image: "s"})
		time.Sleep(time.Second)
		b.submit("filling", "fill", &wire.Step{Count: 2, Size: unit, Filling: true, Image: "f", ExpectedMs: 20_000})
		time.Sleep(6 * time.Second)
		assert.Equal(t, b.runningOf("fill"), 2)
		b.locked(func() {
			w.tailOf = func(workflow.Name) float64 { return 200 }
		})
		time.Sleep(10 * time.Second)
		assert.Equal(t, b.runCount("fill.0.0.0"), 1)
		assert.Equal(t, b.runningOf("fill"), 2)
		b.locked(func() {
			for name, r := range w.runs {
				if name.Workflow == "fill" {
					assert.Equal(t, r.pace, 0)
				}
			}
		})
	})
}

// TestSuspectedWorkerGetsNothingForAWhile guards against new tasks on a worker that has just failed tasks of several workflows in a row.
func TestSuspectedWorkerGetsNothingForAWhile(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		b.locked(func() { b.workers["w0"].failsTasks = true })
		for i := range 6 {
			b.submit("short", fmt.Sprintf("first%d", i), short(2))
		}
		time.Sleep(1500 * time.Millisecond)
		b.submit("short", "second", short(8))
		time.Sleep(300 * time.Millisecond)
		b.locked(func() {
			for name := range b.workers["w0"].runs {
				assert.Assert(t, name.Workflow != "second", "started on a worker that fails everything")
			}
		})
		time.Sleep(30 * time.Second)
		for i := range 6 {
			assert.Equal(t, b.state(fmt.Sprintf("first%d", i)), workflow.StateCompleted)
		}
	})
}

// TestEndsListedTogetherShareRecords guards against one record per end, which costs the leader as much as a start.
func TestEndsListedTogetherShareRecords(t *testing.T) {
	runOnBench(t, 50, unit, func(b *testBench) {
		b.submit("short", "job", short(50))
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
		b.locked(func() { assert.Assert(t, b.endRecords <= 5, "%d records for the ends of 50 workers", b.endRecords) })
	})
}

// TestRunOfAnEvacuatedDomainIsNotTakenForNeverBegunBySlowLeader guards against a new leader with a slow takeover that commits a run as not run although an earlier leader began it, which leads to a second run beside it.
func TestRunOfAnEvacuatedDomainIsNotTakenForNeverBegunBySlowLeader(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		b.submit("lasting", "job", &wire.Step{Count: 4, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, b.runningOf("job"), 4)
		b.depose()
		b.addWorker("other", big).record.Domain = "e"
		b.apply(&wire.WorkflowCommand{Domain: &wire.DomainOut{Domain: "d", Out: true}})
		b.takeoverDelay.Store(int64(time.Second))
		b.lead(2)
		time.Sleep(3 * time.Second)
		b.assertNoOverlap()
	})
}

// TestNewLeaderLeavesRunsOfAnEvacuatedDomain guards against a new leader that needlessly moves the lasting tasks of an evacuated domain.
func TestNewLeaderLeavesRunsOfAnEvacuatedDomain(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		b.submit("lasting", "job", &wire.Step{Count: 4, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		b.apply(&wire.WorkflowCommand{Domain: &wire.DomainOut{Domain: "d", Out: true}})
		b.lead(2)
		time.Sleep(3 * time.Second)
		b.apply(&wire.WorkflowCommand{Domain: &wire.DomainOut{Domain: "d"}})
		time.Sleep(time.Second)
		assert.Equal(t, b.runningOf("job"), 4)
		assert.Equal(t, len(b.begunRuns), 4, "%v", b.begunRuns)
	})
}

// TestLastingTasksLeaveRoomForTasksThatEnd guards against lasting tasks that take each piece of room as it becomes free, so that no other task runs.
func TestLastingTasksLeaveRoomForTasksThatEnd(t *testing.T) {
	runOnBench(t, 4, big, func(b *testBench) {
		const rounds = 100
		for i := range rounds {
			b.submit("short", fmt.Sprint("short", i), short(1))
			if i%4 == 0 {
				b.submit("lasting", fmt.Sprint("lasting", i), &wire.Step{Count: 4, Size: unit, Lasting: true})
			}
			time.Sleep(100 * time.Millisecond)
		}
		done := 0
		for i := rounds / 2; i < rounds-10; i++ {
			if b.state(fmt.Sprint("short", i)) == workflow.StateCompleted {
				done++
			}
		}
		assert.Assert(t, done >= 30, "%d of 40 workflows that need 5 of 64 cores are served while 100 lasting tasks come", done)
	})
}
