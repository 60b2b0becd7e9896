package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// TestTaskReturnsToTheOnlyWorkerThatMayRunIt guards against a task that is kept for good off the only worker with its label, since a run failed there.
func TestTaskReturnsToTheOnlyWorkerThatMayRunIt(t *testing.T) {
	runOnBench(t, 3, big, func(b *testBench) {
		only := b.workers["w1"]
		only.announceLabel("b")
		b.locked(func() { only.failsTasks = true })
		b.submit("short", "job", &wire.Step{Count: 1, Size: unit, ExpectedMs: 200, Requires: "b"})
		time.Sleep(6500 * time.Millisecond) // as long as the users' days have a worker fail
		b.locked(func() { only.failsTasks = false })
		time.Sleep(7500 * time.Millisecond) // the rest of the time in which work has to come to its end
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
	})
}

// TestFailedTaskWaitsForAnotherWorker checks that a task goes to a worker on which it has not failed, if one gets room soon.
func TestFailedTaskWaitsForAnotherWorker(t *testing.T) {
	runOnBench(t, 2, big, func(b *testBench) {
		b.submit("short", "busy", &wire.Step{Count: 16, Size: unit, ExpectedMs: 2000, Requires: "a"})
		full := b.workers["w0"]
		full.announceLabel("a")
		time.Sleep(200 * time.Millisecond)
		b.locked(func() { b.workers["w1"].failsTasks = true })
		b.submit("short", "job", short(1))
		time.Sleep(3200 * time.Millisecond)
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
		assert.Equal(t, b.runCount("job.0.0.0"), 2)
	})
}

func (b *testBench) waitingJobs(queue string) (count int64) {
	b.table.View(func(s *workflow.Tables) { count = s.WaitingJobs(&wire.Queue{Host: "h", PathPrefix: "/" + queue + "/"}) })
	return count
}

// TestWorkflowWhoseStartsAreRefusedIsWaiting guards against counting a workflow as begun whose starts were committed, and refused or not answered by its worker.
func TestWorkflowWhoseStartsAreRefusedIsWaiting(t *testing.T) {
	for name, change := range map[string]func(w *fakeWorker, on bool){
		"refused":      func(w *fakeWorker, on bool) { w.refusesStarts = on },
		"not answered": func(w *fakeWorker, on bool) { w.silent = on },
	} {
		t.Run(name, func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				b.locked(func() { change(w, true) })
				for i := range 6 {
					b.submit("short", fmt.Sprint(i), short(1))
				}
				for range 650 {
					time.Sleep(10 * time.Millisecond)
					assert.Equal(t, b.waitingJobs("short"), int64(6))
					assert.Equal(t, b.state("0"), workflow.StateQueued)
				}
				b.locked(func() { change(w, false) })
				time.Sleep(1400 * time.Millisecond)
				assert.Equal(t, b.waitingJobs("short"), int64(0))
				time.Sleep(time.Second)
				assert.Equal(t, b.state("0"), workflow.StateCompleted)
			})
		})
	}
}

// TestWorkflowThatHasNotBegunWaitsAcrossLeaders guards against a new leader that counts a workflow as begun whose starts its predecessor committed, and no worker accepted, whenever the leadership changes.
func TestWorkflowThatHasNotBegunWaitsAcrossLeaders(t *testing.T) {
	const (
		changeEvery = 200 * time.Millisecond
		lastChange  = 9 * time.Second
		finishTime  = 14 * time.Second // in which accepted work has to end
	)
	for name, change := range map[string]func(w *fakeWorker, on bool){
		"refused":      func(w *fakeWorker, on bool) { w.refusesStarts = on },
		"not answered": func(w *fakeWorker, on bool) { w.silent = on },
	} {
		for changeAt := time.Duration(0); changeAt < lastChange; changeAt += changeEvery {
			for _, snapshot := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %v, snapshot %v", name, changeAt, snapshot), func(t *testing.T) {
					runOnBench(t, 1, big, func(b *testBench) {
						w := b.workers["w0"]
						b.locked(func() { change(w, true) })
						for i := range 6 {
							b.submit("short", fmt.Sprint(i), short(1))
						}
						checkWaiting := func(until time.Time) {
							for time.Now().Before(until) {
								time.Sleep(10 * time.Millisecond)
								assert.Equal(t, b.waitingJobs("short"), int64(6))
								assert.Equal(t, b.state("0"), workflow.StateQueued)
							}
						}
						checkWaiting(time.Now().Add(changeAt))
						b.depose()
						if snapshot {
							assert.NilError(t, b.table.Restore(b.table.Snapshot()))
						}
						b.lead(2)
						checkWaiting(time.Now().Add(withMargin(maxLease)))
						b.locked(func() { change(w, false) })
						time.Sleep(finishTime)
						assert.Equal(t, b.waitingJobs("short"), int64(0))
						assert.Equal(t, b.state("0"), workflow.StateCompleted)
					})
				})
			}
		}
	}
}

// TestWithdrawnStartWhoseLeaseLapsesHasNotBegun guards against counting a workflow as begun whose start was withdrawn after a second try, once the lease of its silent worker has lapsed.
func TestWithdrawnStartWhoseLeaseLapsesHasNotBegun(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		b.locked(func() { w.losesStarts = true })
		b.submit("short", "job", short(1))
		time.Sleep(300 * time.Millisecond)
		b.locked(func() { w.losesStarts, w.refusesStarts = false, true })
		for refused := false; !refused; {
			time.Sleep(100 * time.Microsecond)
			b.locked(func() { refused = w.refusedStarts > 0 })
		}
		b.locked(func() { w.silent = true })
		for end := time.Now().Add(withMargin(maxLease)); time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, b.waitingJobs("short"), int64(1))
			assert.Equal(t, b.state("job"), workflow.StateQueued)
		}
	})
}

// TestStartWhoseAnswerIsLostCountsSoon checks that a workflow counts as begun soon after its worker has executed a start without answering it.
func TestStartWhoseAnswerIsLostCountsSoon(t *testing.T) {
	const allowed = 2 * time.Second // age that the platform's documentation allows of the number of pending workflows
	runOnBench(t, 1, big, func(b *testBench) {
		b.locked(func() { b.workers["w0"].startDelay = 100 * time.Millisecond })
		b.submit("lasting", "job", &wire.Step{Count: 1, Size: unit, Lasting: true})
		for b.runCount("job.0.0.0") == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(allowed)
		assert.Equal(t, b.waitingJobs("lasting"), int64(0))
		assert.Equal(t, b.state("job"), workflow.StateRunning)
	})
}

// withMargin returns a time after which a lease of the given length has lapsed in the records.
func withMargin(lease time.Duration) time.Duration { return lease + 2*time.Second }

// TestWorkflowThatHasBegunStaysSo checks that a workflow of which a run has begun is not shown as queued again, whatever ends the run.
func TestWorkflowThatHasBegunStaysSo(t *testing.T) {
	for name, end := range map[string]func(b *testBench){
		"its lease lapses": func(b *testBench) {
			b.locked(func() { b.workers["w0"].silent = true })
		},
		"another worker has its address": func(b *testBench) {
			b.locked(func() { b.at[b.workers["w0"].record.GetAddress()] = b.newWorker("other", big) })
		},
		"another leader": func(b *testBench) { b.lead(2) },
		"another leader, which its worker does not answer": func(b *testBench) {
			b.locked(func() { b.workers["w0"].silent = true })
			b.lead(2)
		},
		"another leader, from a snapshot, which its worker does not answer": func(b *testBench) {
			b.locked(func() { b.workers["w0"].silent = true })
			b.depose()
			assert.NilError(b.t, b.table.Restore(b.table.Snapshot()))
			b.lead(2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				b.submit("lasting", "job", &wire.Step{Count: 1, Size: unit, Lasting: true})
				time.Sleep(1200 * time.Millisecond)
				assert.Equal(t, b.state("job"), workflow.StateRunning)
				end(b)
				for range 800 {
					time.Sleep(10 * time.Millisecond)
					assert.Equal(t, b.state("job"), workflow.StateRunning)
				}
			})
		})
	}
}

// TestLongTaskIsNotTakenForStalled guards against a task that is stopped again and again on sound workers, since its progress, listed in whole percents, does not change for some seconds, whether its estimate says so or is far too low.
func TestLongTaskIsNotTakenForStalled(t *testing.T) {
	for _, c := range []struct {
		estimate, slowdown, mostRuns int
	}{{estimate: 300_000, slowdown: 1, mostRuns: 1}, {estimate: 2_000, slowdown: 150, mostRuns: 2}} {
		t.Run(fmt.Sprintf("%d ms, %d times as long", c.estimate, c.slowdown), func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				b.locked(func() { b.workers["w0"].slowdown = time.Duration(c.slowdown) })
				b.submit("short", "long", &wire.Step{Count: 1, Size: unit, ExpectedMs: int64(c.estimate)})
				time.Sleep(320 * time.Second)
				assert.Equal(t, b.state("long"), workflow.StateCompleted)
				assert.Assert(t, b.runCount("long.0.0.0") <= c.mostRuns, "it began %d times", b.runCount("long.0.0.0"))
			})
		})
	}
}
