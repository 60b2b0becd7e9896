package dispatch_test

import (
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

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

// TestRunThatEndsAsItsWorkerLeavesIsNotRunAgain guards against a task that is started again because its worker leaves before the listing with its end has been committed.
func TestRunThatEndsAsItsWorkerLeavesIsNotRunAgain(t *testing.T) {
	for late := time.Duration(0); late < 30*time.Millisecond; late += 3 * time.Millisecond {
		runOnBench(t, 2, big, func(b *testBench) {
			b.submit("short", "job", short(1))
			for b.workerOf("job") == nil {
				time.Sleep(time.Millisecond)
			}
			left := b.workerOf("job")
			for b.workerOf("job") != nil {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(late)
			b.loop.Load().AwaitListing(b.t.Context(), left.record.GetId())
			gone := &wire.CalledWorker{Id: left.record.GetId(), Born: 1, Address: left.record.GetAddress(), Gone: true}
			b.apply(&wire.WorkflowCommand{Workers: []*wire.CalledWorker{gone}})
			time.Sleep(3 * time.Second)
			assert.Equal(b.t, b.runCount("job.0.0.0"), 1, "the worker listed the end as it left")
			assert.Equal(b.t, b.state("job"), workflow.StateCompleted)
		})
	}
}
