package dispatch_test

import (
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// loseStarts submits a step whose starts its only worker neither executes nor answers.
func (b *testBench) loseStarts(w *fakeWorker, id string, step *wire.Step) {
	b.locked(func() { w.losesStarts = true })
	b.submit("short", id, step)
	time.Sleep(100 * time.Millisecond)
}

func (b *testBench) runningOn(worker string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.workers[worker].runs)
}

// TestStartHeldUntilItsWorkerRestartsIsNotASecondRun guards against a second run of a task whose unanswered start is executed by a later incarnation that has answered nothing, after the task could have been done elsewhere.
func TestStartHeldUntilItsWorkerRestartsIsNotASecondRun(t *testing.T) {
	for _, heldFor := range []time.Duration{8500 * time.Millisecond, 10 * time.Second, 11900 * time.Millisecond} {
		t.Run(heldFor.String(), func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				time.Sleep(30 * time.Second)
				b.locked(func() { w.startDelay = heldFor })
				b.submit("short", "held", short(4))
				time.Sleep(100 * time.Millisecond)
				b.locked(func() { w.startDelay, w.silent = 0, true })
				b.addWorker("w1", big)
				time.Sleep(heldFor - 200*time.Millisecond)
				b.locked(func() { w.restart(); w.silent = true })
				time.Sleep(200 * time.Millisecond)
				b.locked(func() { w.silent = false })
				w.announce()
				time.Sleep(30 * time.Second)
				assert.Equal(t, b.state("held"), workflow.StateCompleted)
				b.locked(func() { assert.Equal(t, b.doneRuns[workflow.Name{Workflow: "held"}], 1) })
			})
		})
	}
}

// TestStoppedRunThatEndsDoesNotStartOnALaterIncarnation guards against a second run of a task that ends, where the incarnation that was told to stop its run restarts, and the next one executes the start 2.7 s late.
func TestStoppedRunThatEndsDoesNotStartOnALaterIncarnation(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		time.Sleep(30 * time.Second)
		b.locked(func() { w.startDelay = 2700 * time.Millisecond })
		b.submit("short", "former", &wire.Step{Count: 4, Size: unit, ExpectedMs: 5000})
		time.Sleep(100 * time.Millisecond)
		b.locked(func() { w.restart(); w.startDelay, w.refusesStarts = 0, true })
		b.addWorker("w1", big)
		w.announce()
		time.Sleep(2 * time.Second)
		b.locked(w.restart)
		time.Sleep(time.Second)
		w.announce()
		time.Sleep(30 * time.Second)
		assert.Equal(t, b.state("former"), workflow.StateCompleted)
	})
}

// TestOnlyRunsWithUnansweredStartsOutlastTheLease guards against tasks that stay with a silent worker although it answered their starts, or they are lasting, or their workflow was cancelled, and against one with an unanswered start that stays for good.
func TestOnlyRunsWithUnansweredStartsOutlastTheLease(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		b.submit("short", "answered", &wire.Step{Count: 8, Size: unit, ExpectedMs: 60_000})
		time.Sleep(29 * time.Second)
		b.loseStarts(w, "cancelled", short(1))
		b.loseStarts(w, "unanswered", &wire.Step{Count: 1, Size: unit, ExpectedMs: 60_000})
		b.submit("lasting", "lasting", &wire.Step{Count: 1, Size: unit, Lasting: true})
		time.Sleep(100 * time.Millisecond)
		b.addWorker("w1", big)
		b.locked(func() { w.silent = true })
		b.apply(&wire.WorkflowCommand{Cancel: "cancelled"})
		time.Sleep(4500 * time.Millisecond)
		assert.Equal(t, b.runningOn("w1"), 8)
		time.Sleep(4 * time.Second)
		assert.Equal(t, b.runningOf("lasting"), 1)
		assert.Equal(t, b.runningOn("w1"), 9)
		b.table.View(func(s *workflow.Tables) {
			assert.Equal(t, len(s.Workers["w0"].Tasks), 1, "room of a cancelled workflow is kept")
		})
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.runningOn("w1"), 10)
	})
}

// TestUnansweredStartIsSentAgainOnceItsWorkerAnswers guards against a task that waits for as long as a start may be late, though its worker has answered again without a restart.
func TestUnansweredStartIsSentAgainOnceItsWorkerAnswers(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		time.Sleep(30 * time.Second)
		b.loseStarts(w, "job", short(1))
		b.addWorker("w1", big)
		b.locked(func() { w.silent = true })
		time.Sleep(9 * time.Second)
		assert.Equal(t, b.runCount("job.0.0.0"), 0)
		b.locked(func() { w.silent, w.losesStarts = false, false })
		time.Sleep(1800 * time.Millisecond)
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
	})
}
