package dispatch_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// workerOf returns the worker that runs tasks of a workflow, nil if none does.
func (b *testBench) workerOf(id string) *fakeWorker {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.workers {
		for name := range w.runs {
			if name.Workflow == id {
				return w
			}
		}
	}
	return nil
}

// startAndEnd submits a workflow of one short task and returns its worker just after the task has ended there.
func (b *testBench) startAndEnd(id string, prepare func(*fakeWorker)) *fakeWorker {
	b.submit("short", id, short(1))
	for b.workerOf(id) == nil {
		time.Sleep(time.Millisecond)
	}
	w := b.workerOf(id)
	prepare(w)
	for b.workerOf(id) != nil {
		time.Sleep(time.Millisecond)
	}
	return w
}

// ackLimit is the longest time in which a departure is acknowledged, with a margin for the loop's goroutines.
const ackLimit = 310 * time.Millisecond

// leave reports that a worker has ended, and ends its process some time after the acknowledgement.
func (w *fakeWorker) leave(lingers time.Duration) {
	b, began := w.b, time.Now()
	w.depart()
	assert.Assert(b.t, time.Since(began) <= ackLimit, "the departure was acknowledged after %v", time.Since(began))
	time.Sleep(lingers)
	b.locked(w.quit)
}

// depart reports that a worker has ended, as package control does.
func (w *fakeWorker) depart() {
	b := w.b
	assert.NilError(b.t, b.loop.Load().Depart(b.t.Context(), w.record.GetId(), 1))
}

// quit ends the worker's process. The caller holds the bench's mutex.
func (w *fakeWorker) quit() {
	for name, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.b.running[name]--
	}
	w.runs, w.silent, w.gone = map[workflow.Name]*fakeRun{}, true, true
}

// inState reports whether the state still has a worker.
func (w *fakeWorker) inState() bool {
	in := false
	w.b.table.View(func(t *workflow.Tables) { in = t.Workers[w.record.GetId()] != nil })
	return in
}

// assertRanOnce checks that the only task of a workflow is done after one run, and that the state has removed the worker.
func (w *fakeWorker) assertRanOnce(id string) {
	assert.Equal(w.b.t, w.b.runCount(id+".0.0.0"), 1, "the task ran again after it was done")
	assert.Equal(w.b.t, w.b.state(id), workflow.StateCompleted)
	assert.Assert(w.b.t, !w.inState(), "the worker that left is still in the state")
}

// TestRunThatEndsAsItsWorkerLeavesIsNotRunAgain guards against a task that is started again because its worker leaves before the listing with its end has been committed.
func TestRunThatEndsAsItsWorkerLeavesIsNotRunAgain(t *testing.T) {
	for late := time.Duration(0); late < 30*time.Millisecond; late += 3 * time.Millisecond {
		runOnBench(t, 2, big, func(b *testBench) {
			left := b.startAndEnd("job", func(*fakeWorker) {})
			time.Sleep(late)
			left.leave(0)
			time.Sleep(3 * time.Second)
			left.assertRanOnce("job")
		})
	}
}

// TestEndInALostAnswerIsNotRunAgain guards against a task that is started again because the hold in progress fails after its answer with the end was written.
func TestEndInALostAnswerIsNotRunAgain(t *testing.T) {
	for late := time.Duration(0); late < 80*time.Millisecond; late += 7 * time.Millisecond {
		runOnBench(t, 2, big, func(b *testBench) {
			left := b.startAndEnd("job", func(w *fakeWorker) { b.locked(func() { w.lostAnswers = 1 }) })
			time.Sleep(late)
			left.leave(0)
			time.Sleep(3 * time.Second)
			left.assertRanOnce("job")
		})
	}
}

// TestEndThatIsCommittedLateIsNotRunAgain guards against a task that is started again because the record with its end takes longer to be committed than a departure may take to be acknowledged.
func TestEndThatIsCommittedLateIsNotRunAgain(t *testing.T) {
	for late := time.Duration(0); late < 100*time.Millisecond; late += 35 * time.Millisecond {
		runOnBench(t, 2, big, func(b *testBench) {
			left := b.startAndEnd("job", func(*fakeWorker) { b.locked(func() { b.endsDelay = time.Second }) })
			time.Sleep(late)
			left.leave(0)
			time.Sleep(3 * time.Second)
			left.assertRanOnce("job")
		})
	}
}

// TestEndBeforeAChangeOfLeaderIsNotRunAgain guards against a task that is started again because the leader that learns of the departure was not the leader when the task ended, and has had no answer of the worker yet.
func TestEndBeforeAChangeOfLeaderIsNotRunAgain(t *testing.T) {
	for _, slow := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			runOnBench(t, 2, big, func(b *testBench) {
				left := b.startAndEnd("job", func(w *fakeWorker) { b.depose(); b.locked(func() { w.holdDelay = slow }) })
				b.lead(2)
				left.leave(time.Second)
				time.Sleep(3 * time.Second)
				left.assertRanOnce("job")
			})
		})
	}
}

// TestDepartureBeforeTheNewLeaderCallsWorkers guards against a departure that frees tasks at once because the leader that learns of it has not begun to call workers.
func TestDepartureBeforeTheNewLeaderCallsWorkers(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		left := b.startAndEnd("job", func(*fakeWorker) { b.depose() })
		left.depart()
		b.lead(2)
		time.Sleep(time.Second)
		b.locked(left.quit)
		time.Sleep(3 * time.Second)
		left.assertRanOnce("job")
	})
}

// TestEndsListedInPartsAsTheWorkerLeavesCountOnce guards against tasks that are started again because their ends did not fit into the last listing before the departure.
func TestEndsListedInPartsAsTheWorkerLeavesCountOnce(t *testing.T) {
	const tasks = 1200
	runOnBench(t, 2, big, func(b *testBench) {
		b.locked(func() { b.workers["w1"].silent = true })
		time.Sleep(time.Second)
		left := b.workers["w0"]
		b.locked(func() { left.endsAtATime = 500 })
		b.submit("short", "job", &wire.Step{Count: tasks, Size: &wire.Size{MilliCpu: 10, MemoryMib: 10}, ExpectedMs: 3000})
		time.Sleep(2500 * time.Millisecond)
		b.locked(func() { left.silent, b.endsDelay = true, 200*time.Millisecond })
		time.Sleep(1500 * time.Millisecond)
		b.locked(func() { left.silent, b.workers["w1"].silent = false, false })
		left.leave(3 * time.Second)
		time.Sleep(3 * time.Second)
		for i := range tasks {
			assert.Equal(t, b.runCount(fmt.Sprintf("job.0.0.%d", i)), 1, "task %d", i)
		}
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
		assert.Assert(t, !left.inState())
	})
}

// TestDepartureWithoutAnAnswerKeepsTheTasksForTheLease guards against tasks that are started again, or leases that are extended, because a worker said that it left and answers no more.
func TestDepartureWithoutAnAnswerKeepsTheTasksForTheLease(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		left := b.workers["w0"]
		b.submit("lasting", "job", &wire.Step{Count: 6, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		b.addWorker("w1", big)
		time.Sleep(500 * time.Millisecond)
		b.locked(func() { left.silent = true }) // its runs go on
		left.depart()
		departed := time.Now()
		b.locked(func() { left.gone = true })
		var expiry time.Time
		b.locked(func() { expiry = left.lease })
		time.Sleep(time.Until(expiry.Add(-50 * time.Millisecond)))
		assert.Equal(t, b.runCount("job.0.0.0"), 1, "tasks were freed before the lease had expired")
		assert.Assert(t, left.inState())
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.runCount("job.0.0.0"), 2, "tasks were not freed once the lease had expired")
		assert.Assert(t, !left.inState())
		b.mu.Lock()
		defer b.mu.Unlock()
		assert.Equal(t, left.startsWhenGone, 0)
		assert.Assert(t, left.lease.Sub(departed) <= lease, "the lease was extended")
		assert.Assert(t, len(left.holdsWhileSilent) > 0)
		for _, h := range left.holdsWhileSilent {
			assert.Equal(t, h.DeadlineMS, int64(0), "a hold extends the lease of a worker that left")
		}
	})
}

// TestDepartureSurvivesAChangeOfLeader guards against a later leader that uses a departed worker again, or frees its tasks before the longest lease has expired or never.
func TestDepartureSurvivesAChangeOfLeader(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		left := b.workers["w0"]
		b.submit("lasting", "job", &wire.Step{Count: 6, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		b.addWorker("w1", big)
		b.locked(func() { left.silent = true })
		left.depart()
		time.Sleep(100 * time.Millisecond)
		b.lead(2)
		left.announce()
		b.locked(left.quit)
		b.submit("short", "more", short(3))
		time.Sleep(maxLease - 100*time.Millisecond)
		assert.Equal(t, b.state("more"), workflow.StateCompleted)
		assert.Equal(t, b.runningOf("job"), 0, "tasks were freed before the longest lease had expired")
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.runningOf("job"), 6)
		assert.Assert(t, !left.inState())
		b.locked(func() { assert.Equal(t, left.startsWhenGone, 0) })
		left.announce()
		assert.Assert(t, !left.inState(), "a late announcement revives a worker that left")
	})
}

// TestAnswerAtTheAddressOfADepartedWorkerIsNoEnd guards against tasks of a departed worker that are freed because another worker answers at its address.
func TestAnswerAtTheAddressOfADepartedWorkerIsNoEnd(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		left := b.workers["w0"]
		b.submit("lasting", "job", &wire.Step{Count: 6, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		b.locked(func() { left.silent = true })
		left.depart()
		next := b.newWorker("w1", big)
		next.record.Address = left.record.GetAddress()
		b.locked(func() { left.quit(); b.at[next.record.GetAddress()] = next })
		next.announce()
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.runningOf("job"), 0, "tasks were freed before the lease had expired")
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.runningOf("job"), 6)
		assert.Assert(t, !left.inState())
	})
}

// TestDepartureWithAnAnswerFreesTheTasksAtOnce guards against waiting for the lease of a worker that shows as it leaves that it no longer runs its tasks.
func TestDepartureWithAnAnswerFreesTheTasksAtOnce(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		left := b.workers["w0"]
		b.submit("lasting", "job", &wire.Step{Count: 6, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		b.addWorker("w1", big)
		time.Sleep(500 * time.Millisecond)
		b.locked(func() { left.quit(); left.silent = false }) // it has forgotten its runs
		began := time.Now()
		left.depart()
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "the departure was acknowledged after %v", time.Since(began))
		assert.Assert(t, !left.inState())
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, b.runningOf("job"), 6)
	})
}

// TestNoStartIsSentToADepartingWorker guards against a start that is sent again after the leader has learned of the departure and before that is committed.
func TestNoStartIsSentToADepartingWorker(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		left := b.workers["w0"]
		b.locked(func() { left.losesStarts, b.departureDelay = true, 5*time.Second })
		b.submit("short", "job", short(3))
		time.Sleep(100 * time.Millisecond)
		left.depart()
		b.locked(func() { left.gone = true })
		time.Sleep(3 * time.Second)
		b.locked(func() { assert.Equal(t, left.startsWhenGone, 0) })
		b.addWorker("w1", big)
		time.Sleep(4 * time.Second)
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
		assert.Assert(t, !left.inState())
	})
}

// TestLeaseOfADepartedWorkerThatAnswersIsNotExtended guards against a later leader that extends the lease of a worker that left and still runs tasks.
func TestLeaseOfADepartedWorkerThatAnswersIsNotExtended(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		left := b.workers["w0"]
		b.submit("lasting", "job", &wire.Step{Count: 6, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		b.addWorker("w1", big)
		b.locked(func() { left.stopTime = 10 * time.Second })
		b.depose()
		left.depart()
		var expiry time.Time
		b.locked(func() { expiry = left.lease })
		b.lead(2)
		time.Sleep(time.Until(expiry.Add(-10 * time.Millisecond)))
		assert.Equal(t, b.runCount("job.0.0.0"), 1, "a run that is listed as running was taken for ended")
		time.Sleep(time.Second)
		b.locked(func() { assert.Assert(t, left.lease.Equal(expiry), "the lease was extended") })
		assert.Equal(t, b.runCount("job.0.0.0"), 2)
		assert.Assert(t, !left.inState())
	})
}

// TestHoldInProgressIsHeardOutAsTheWorkerLeaves guards against an end that is lost because its worker answers the hold in progress but none that arrives after its departure.
func TestHoldInProgressIsHeardOutAsTheWorkerLeaves(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		left := b.startAndEnd("job", func(w *fakeWorker) { b.locked(func() { w.holdDelay = 200 * time.Millisecond }) })
		time.Sleep(70 * time.Millisecond)
		b.locked(func() { left.silent = true }) // the answer with the end is on its way
		left.depart()
		time.Sleep(8 * time.Second)
		left.assertRanOnce("job")
	})
}

// failAsItsWorkerLeaves has the first run of a task fail on a worker that leaves some time later, so that both holds in progress list the end.
func (b *testBench) failAsItsWorkerLeaves(id string, late time.Duration) *fakeWorker {
	setFailing := func(on bool) {
		b.locked(func() {
			for _, w := range b.workers {
				w.failsTasks = on
			}
		})
	}
	setFailing(true)
	b.submit("lasting", id, short(1)) // a queue with two attempts
	for b.workerOf(id) == nil {
		time.Sleep(time.Millisecond)
	}
	setFailing(false)
	left := b.workerOf(id)
	b.locked(func() { left.holdDelay = 10 * time.Millisecond })
	for b.workerOf(id) != nil {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(late)
	left.leave(time.Second)
	return left
}

// TestFailureListedByTwoHoldsAsTheWorkerLeavesCountsOnce guards against a workflow that fails before its attempts are used up, since the failed run that ends as its worker leaves is in the answers to both holds that are in progress then.
func TestFailureListedByTwoHoldsAsTheWorkerLeavesCountsOnce(t *testing.T) {
	for late := time.Duration(0); late < 30*time.Millisecond; late += 3 * time.Millisecond {
		runOnBench(t, 2, big, func(b *testBench) {
			left := b.failAsItsWorkerLeaves("job", late)
			time.Sleep(3 * time.Second)
			assert.Equal(t, b.state("job"), workflow.StateCompleted, "left %v after the end", late)
			assert.Equal(t, b.runCount("job.0.0.0"), 2)
			assert.Assert(t, !left.inState())
		})
	}
}

// TestEndListedByTwoHoldsIsRecordedOnce guards against metrics and records that hold a run's end once for each hold that listed it.
func TestEndListedByTwoHoldsIsRecordedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, 2, big)
		b.metrics = metrics.NewSet()
		b.loop.Store(b.newLoop())
		b.loop.Load().SetTable(b.table)
		b.lead(1)
		defer b.depose()
		time.Sleep(200 * time.Millisecond)
		b.failAsItsWorkerLeaves("job", 0)
		time.Sleep(3 * time.Second)
		var out bytes.Buffer
		b.metrics.WritePrometheus(&out)
		for _, line := range []string{`{outcome="RUN_OUTCOME_FAILED"} 1`, `{outcome="RUN_OUTCOME_DONE"} 1`} {
			assert.Assert(t, strings.Contains(out.String(), "daisyswitch_runs_ended_total"+line), out.String())
		}
		b.locked(func() { assert.Equal(t, b.endRecords, 2) })
	})
}
