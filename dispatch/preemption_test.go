package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// fillWithLasting has a lasting workflow take all room of the workers, and waits until all of its tasks are at work.
func fillWithLasting(b *testBench, tasks, mayBeAway int32) {
	b.submit("lasting", "feed", &wire.Step{Count: tasks, Size: unit, Lasting: true, MayBeAway: mayBeAway})
	time.Sleep(5 * time.Second)
	assert.Equal(b.t, b.runningOf("feed"), int(tasks))
}

// submitShorts submits short workflows for some time, and returns how many of them complete and the fewest lasting tasks that ran meanwhile.
func submitShorts(b *testBench, count int) (completed, fewest int) {
	fewest = b.runningOf("feed")
	for i := range count {
		b.submit("short", fmt.Sprint("short", i), short(1))
		for range 10 {
			time.Sleep(10 * time.Millisecond)
			fewest = min(fewest, b.runningOf("feed"))
		}
	}
	time.Sleep(2 * time.Second)
	for i := range count {
		if b.state(fmt.Sprint("short", i)) == workflow.StateCompleted {
			completed++
		}
	}
	return completed, fewest
}

// TestPreemptedLastingTasksReturn checks that tasks that end get room from lasting ones that hold all of it, and that these are all back soon after.
func TestPreemptedLastingTasksReturn(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		fillWithLasting(b, 32, 0)
		completed, fewest := submitShorts(b, 40)
		assert.Equal(t, completed, 40)
		assert.Assert(t, fewest >= 24, "only %d of 32 lasting tasks ran at a time", fewest)
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.runningOf("feed"), 32)
	})
}

// TestPreemptionKeepsTheNamedLimit checks that no more tasks of a step are away than its caller allows.
func TestPreemptionKeepsTheNamedLimit(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		fillWithLasting(b, 32, 2)
		completed, fewest := submitShorts(b, 40)
		assert.Assert(t, completed > 0)
		assert.Assert(t, fewest >= 30, "only %d of 32 lasting tasks ran at a time, though only 2 may be away", fewest)
	})
}

// TestPreemptedTaskIsAwayForAFewSecondsOnly checks that a preempted task returns in time though short tasks go on wanting its room.
func TestPreemptedTaskIsAwayForAFewSecondsOnly(t *testing.T) {
	const allowed = 9 * time.Second // by the platform's documentation: 3 s, from 6 s after the last run
	runOnBench(t, 2, big, func(b *testBench) {
		fillWithLasting(b, 32, 0)
		lastSeen := map[int32]time.Time{}
		for i := range 300 {
			b.submit("short", fmt.Sprint("short", i), short(2))
			time.Sleep(100 * time.Millisecond)
			for index := range int32(32) {
				name := workflow.Name{Workflow: "feed", Index: index}
				runs := false
				b.locked(func() { runs = b.running[name] > 0 })
				if runs || lastSeen[index].IsZero() {
					lastSeen[index] = time.Now()
				}
				assert.Assert(t, time.Since(lastSeen[index]) < allowed, "task %d has been away for %v", index, time.Since(lastSeen[index]))
			}
		}
	})
}

// TestWorkOfALowerPriorityPreemptsNothing checks that lasting tasks do not give way to tasks of a queue that comes after theirs.
func TestWorkOfALowerPriorityPreemptsNothing(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		fillWithLasting(b, 32, 0)
		for i := range 20 {
			b.submit("filling", fmt.Sprint("later", i), short(1))
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, b.runningOf("feed"), 32)
		}
	})
}

// TestLastingTasksGiveWayOnTheOnlyWorkerThatMayRunATask guards against a task that waits for ever, since lasting tasks that any worker may run hold the room of the only one with its label, where no single one of them makes enough.
func TestLastingTasksGiveWayOnTheOnlyWorkerThatMayRunATask(t *testing.T) {
	const finishTime = 14 * time.Second // in which accepted work has to end
	large := &wire.Size{MilliCpu: 5000, MemoryMib: 1000}
	for name, age := range map[string]time.Duration{"in time": 0, "late": time.Minute} {
		t.Run(name, func(t *testing.T) {
			runOnBench(t, 4, big, func(b *testBench) {
				b.submit("short", "earlier", short(40))
				b.workers["w1"].announceLabel("b")
				time.Sleep(2 * time.Second)
				b.submit("lasting", "feed", &wire.Step{Count: 20, Size: &wire.Size{MilliCpu: 3000, MemoryMib: 1000}, Lasting: true})
				time.Sleep(5 * time.Second)
				assert.Equal(t, b.runningOf("feed"), 20)
				submitted := &wire.Workflow{Id: "job", Queue: "short", Payload: "p", Steps: []*wire.Step{{Count: 2, Size: large, ExpectedMs: 500, Requires: "b"}}}
				b.table.Apply(time.Now().Add(-age).UnixMilli(), &wire.WorkflowCommand{Submit: submitted})
				time.Sleep(finishTime)
				assert.Equal(t, b.state("job"), workflow.StateCompleted)
				assert.Equal(t, b.runningOf("feed"), 20)
			})
		})
	}
}

// TestWorkThatNoWorkerCanHoldKeepsNoLastingTaskAway guards against lasting tasks that stop for, or leave their room to, tasks that can never start, as no worker has the label that they require or is large enough.
func TestWorkThatNoWorkerCanHoldKeepsNoLastingTaskAway(t *testing.T) {
	for name, step := range map[string]*wire.Step{
		"label": {Count: 2, Size: unit, ExpectedMs: 500, Requires: "none"},
		"size":  {Count: 2, Size: &wire.Size{MilliCpu: 17000, MemoryMib: 1000}, ExpectedMs: 500},
	} {
		t.Run(name, func(t *testing.T) {
			runOnBench(t, 3, big, func(b *testBench) {
				b.submit("short", "earlier", short(40))
				time.Sleep(2 * time.Second)
				fillWithLasting(b, 48, 0)
				b.submit("short", "impossible", step)
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					assert.Equal(t, b.runningOf("feed"), 48)
				}
				lost := b.workerOf("feed")
				b.locked(func() { lost.silent = true })
				b.addWorker("free", big)
				time.Sleep(lease + 1300*time.Millisecond) // less than lasting tasks may be held back
				running := 0
				b.locked(func() { running = len(b.workers["free"].runs) })
				assert.Equal(t, running, 16)
			})
		})
	}
}

// TestLastingTaskThatIsAwayLongestReturnsFirst guards against a lasting task that is away for too long, since the tasks of workflows that were accepted earlier, lost later than it, take each room first.
func TestLastingTaskThatIsAwayLongestReturnsFirst(t *testing.T) {
	runOnBench(t, 4, big, func(b *testBench) {
		lose := func(id string) {
			w := b.workerOf(id)
			b.locked(func() { w.silent = true })
		}
		for _, id := range []string{"earlier", "later"} {
			b.submit("lasting", id, &wire.Step{Count: 2, Size: big, Lasting: true})
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, b.runningOf(id), 2)
		}
		lose("later")
		time.Sleep(2 * time.Second)
		lose("earlier")
		time.Sleep(2 * maxLease)
		b.addWorker("free", big)
		time.Sleep(time.Second)
		var returned []string
		b.locked(func() {
			for name := range b.workers["free"].runs {
				returned = append(returned, name.Workflow)
			}
		})
		assert.DeepEqual(t, returned, []string{"later"})
	})
}

// TestTaskOfALostWorkerReturnsToAContestedPoolInTime guards against a lasting task that is kept away for short tasks after it has waited for its lost worker's lease, under a new leader.
func TestTaskOfALostWorkerReturnsToAContestedPoolInTime(t *testing.T) {
	const allowed = 9 * time.Second // by the platform's documentation: 3 s, from 6 s after the last run
	runOnBench(t, 3, big, func(b *testBench) {
		b.submit("lasting", "feed", &wire.Step{Count: 2, Size: unit, Lasting: true, MaxPerWorker: 1})
		time.Sleep(time.Second)
		lost := b.workerOf("feed")
		b.locked(func() { lost.silent = true })
		began := time.Now()
		time.Sleep(300 * time.Millisecond)
		b.lead(2)
		for i := 0; ; i++ {
			b.submit("short", fmt.Sprint("short", i), short(8))
			time.Sleep(50 * time.Millisecond)
			back := 0
			b.locked(func() {
				for _, w := range b.workers {
					for name := range w.runs {
						if name.Workflow == "feed" && w != lost {
							back++
						}
					}
				}
			})
			if back == 2 {
				return
			}
			assert.Assert(t, time.Since(began) < allowed, "away for %v", time.Since(began))
		}
	})
}

// TestLastingTaskWaitsWhereRoomComesFirst guards against a lasting task that waits for long tasks, since room is kept for it on the worker that has most free, while short tasks take what is released elsewhere.
func TestLastingTaskWaitsWhereRoomComesFirst(t *testing.T) {
	const allowed = 3 * time.Second // by the platform's documentation, with room for it twice over
	runOnBench(t, 2, big, func(b *testBench) {
		b.workers["w0"].announceLabel("a")
		b.workers["w1"].announceLabel("b")
		b.submit("patient", "long", &wire.Step{Count: 12, Size: unit, ExpectedMs: 30_000, Requires: "a"})
		time.Sleep(time.Second)
		shorts := 0
		submitShorts := func() {
			b.submit("short", fmt.Sprint("short", shorts), &wire.Step{Count: 2, Size: unit, ExpectedMs: 500, Requires: "b"})
			shorts++
			time.Sleep(40 * time.Millisecond)
		}
		for range 50 {
			submitShorts()
		}
		b.submit("lasting", "feed", &wire.Step{Count: 1, Size: &wire.Size{MilliCpu: 8000, MemoryMib: 1000}, Lasting: true})
		began := time.Now()
		for b.runningOf("feed") == 0 {
			submitShorts()
			assert.Assert(t, time.Since(began) < allowed, "waits for %v", time.Since(began))
		}
	})
}

// TestLastingTaskTakesRoomKeptForALargerOne guards against lasting tasks that wait beside free room, since it is kept for a larger one that can't start yet.
func TestLastingTaskTakesRoomKeptForALargerOne(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		b.submit("patient", "long", &wire.Step{Count: 8, Size: unit, ExpectedMs: 30_000})
		time.Sleep(2 * time.Second)
		b.submit("lasting", "large", &wire.Step{Count: 1, Size: &wire.Size{MilliCpu: 12_000, MemoryMib: 1000}, Lasting: true})
		b.submit("lasting", "small", &wire.Step{Count: 1, Size: &wire.Size{MilliCpu: 4000, MemoryMib: 1000}, Lasting: true})
		time.Sleep(3 * time.Second) // allowed by the platform's documentation, with room for it twice over
		assert.Equal(t, b.runningOf("small"), 1)
		time.Sleep(30 * time.Second)
		assert.Equal(t, b.runningOf("large"), 1)
	})
}
