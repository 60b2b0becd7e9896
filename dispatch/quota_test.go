package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"daisyswitch/resource"
	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// setWorkspaces gives the bench's queues workspaces, each of which is its own key.
func (b *testBench) setWorkspaces(workspaces ...*wire.Workspace) {
	set := &wire.QueueSet{Keyed: true, Workspaces: workspaces}
	b.table.View(func(t *workflow.Tables) { set.Version, set.Queues = t.Queues.GetVersion()+1, t.Queues.GetQueues() })
	for _, w := range workspaces {
		w.Keys = []string{w.GetName()}
	}
	b.apply(&wire.WorkflowCommand{Queues: set})
}

func (b *testBench) submitFor(workspace, queue, id string, steps ...*wire.Step) {
	result := b.apply(&wire.WorkflowCommand{ByPlace: true, Submit: &wire.Workflow{Id: id, Queue: queue, Host: "h", PathPrefix: "/" + queue + "/", Payload: "p", Steps: steps}, Key: workspace})
	assert.Equal(b.t, result.Answer, wire.WorkflowAnswer_WORKFLOW_ANSWER_OK, result.Reason)
}

// limitedTo returns a workspace with a quota of processors.
func limitedTo(name string, cores int64) *wire.Workspace {
	return &wire.Workspace{Name: name, Weight: 1, Quota: &wire.Size{MilliCpu: 1000 * cores}}
}

// runOnSharedBench runs a test on a bench with workspaces and checks that no start was chosen that the commit refused.
func runOnSharedBench(t *testing.T, workers int, workspaces []*wire.Workspace, test func(*testBench)) {
	runOnBench(t, workers, big, func(b *testBench) {
		b.setWorkspaces(workspaces...)
		test(b)
		assert.Equal(t, b.refusedStarts.Load(), int64(0), "starts were chosen that the state refused")
	})
}

// TestWorkspaceStaysWithinItsQuota guards against placing more than a quota, less than it, or what the commit refuses, also after a change of leader.
func TestWorkspaceStaysWithinItsQuota(t *testing.T) {
	runOnSharedBench(t, 2, []*wire.Workspace{limitedTo("a", 5), limitedTo("b", 0)}, func(b *testBench) {
		b.submitFor("a", "short", "limited", short(40))
		b.submitFor("b", "short", "free", short(40))
		most := 0
		for i := range 60 {
			if i == 10 {
				b.lead(2)
			}
			time.Sleep(50 * time.Millisecond)
			most = max(most, b.runningOf("limited"))
			assert.Assert(t, b.runningOf("limited") <= 5, "%d tasks of one core with a quota of 5 cores", b.runningOf("limited"))
		}
		assert.Equal(t, most, 5)
		assert.Equal(t, b.state("free"), workflow.StateCompleted)
		time.Sleep(6 * time.Second)
		assert.Equal(t, b.state("limited"), workflow.StateCompleted)
	})
}

// TestTaskLargerThanItsQuotaRunsAlone guards against a task that waits forever since it does not fit in the quota even alone.
func TestTaskLargerThanItsQuotaRunsAlone(t *testing.T) {
	runOnSharedBench(t, 2, []*wire.Workspace{limitedTo("a", 2)}, func(b *testBench) {
		b.submitFor("a", "short", "job", &wire.Step{Count: 3, Size: &wire.Size{MilliCpu: 4000}, ExpectedMs: 500})
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, b.runningOf("job") <= 1)
		}
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
	})
}

// TestGangWaitsForItsQuotaAsAWhole guards against a gang of which some tasks take the rest of the quota, and against counting a gang that was not placed.
func TestGangWaitsForItsQuotaAsAWhole(t *testing.T) {
	runOnSharedBench(t, 1, []*wire.Workspace{limitedTo("a", 20)}, func(b *testBench) {
		gang := func(count int32) *wire.Step { return &wire.Step{Count: count, Size: unit, ExpectedMs: 500, Gang: true} }
		b.submitTogether(func() {
			b.submitFor("a", "short", "no-room", gang(18))
			b.submitFor("a", "short", "first", gang(12))
			b.submitFor("a", "short", "second", gang(10))
			b.submitFor("a", "short", "small", short(3))
		})
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, b.runningOf("first"), 12)
		assert.Equal(t, b.runningOf("small"), 3, "the quota of a gang that found no room, or that waits for its quota, was taken")
		assert.Equal(t, b.runningOf("second"), 0)
		time.Sleep(time.Second)
		assert.Equal(t, b.state("second"), workflow.StateCompleted)
	})
	runOnSharedBench(t, 2, []*wire.Workspace{limitedTo("a", 20)}, func(b *testBench) {
		b.submitFor("a", "short", "first", &wire.Step{Count: 12, Size: unit, ExpectedMs: 500})
		b.submitFor("a", "short", "second", &wire.Step{Count: 10, Size: unit, ExpectedMs: 500, Gang: true})
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, b.runningOf("first"), 12)
		assert.Equal(t, b.runningOf("second"), 0, "a part of a gang runs")
		time.Sleep(time.Second)
		assert.Equal(t, b.state("second"), workflow.StateCompleted)
	})
}

// TestNoTaskIsStoppedForWorkThatWaitsForItsQuota guards against lasting tasks that give way to steps which could not start in their room either, and against a quota of one workspace that keeps others from running.
func TestNoTaskIsStoppedForWorkThatWaitsForItsQuota(t *testing.T) {
	runOnSharedBench(t, 2, []*wire.Workspace{limitedTo("a", 1), limitedTo("b", 0)}, func(b *testBench) {
		b.submitFor("b", "lasting", "feed", &wire.Step{Count: 31, Size: unit, Lasting: true})
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.runningOf("feed"), 31)
		b.submitFor("a", "short", "job", short(12))
		for range 70 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, b.runningOf("feed"), 31)
		}
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
	})
	fewestLasting := func(b *testBench) int {
		fewest := 32
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			fewest = min(fewest, b.runningOf("feed"))
		}
		return fewest
	}
	runOnSharedBench(t, 2, []*wire.Workspace{limitedTo("a", 4), limitedTo("b", 0)}, func(b *testBench) {
		b.submitFor("b", "lasting", "feed", &wire.Step{Count: 32, Size: unit, Lasting: true})
		time.Sleep(5 * time.Second)
		b.submitFor("a", "short", "job", short(12))
		fewest := fewestLasting(b)
		assert.Assert(t, fewest >= 28, "%d of 32 lasting tasks were stopped for a quota of 4", 32-fewest)
	})
	runOnSharedBench(t, 2, []*wire.Workspace{limitedTo("a", 1), limitedTo("b", 0)}, func(b *testBench) {
		b.submitFor("a", "short", "long", &wire.Step{Count: 1, Size: unit, ExpectedMs: 20_000})
		b.submitFor("b", "lasting", "feed", &wire.Step{Count: 31, Size: unit, Lasting: true})
		time.Sleep(5 * time.Second)
		b.submitTogether(func() {
			b.submitFor("b", "short", "alone", short(1))
			b.submitFor("a", "short", "job", short(12))
		})
		fewest := fewestLasting(b)
		assert.Assert(t, fewest >= 30, "%d lasting tasks were stopped for one task that may start", 31-fewest)
	})
}

// TestLastingTaskGetsItsQuotaBesideShortOnes guards against a large lasting task that waits for good, since short tasks of its workspace take each piece of the quota that is freed.
func TestLastingTaskGetsItsQuotaBesideShortOnes(t *testing.T) {
	runOnSharedBench(t, 2, []*wire.Workspace{limitedTo("a", 8)}, func(b *testBench) {
		for i := range 60 {
			b.submitFor("a", "short", fmt.Sprint("short", i), short(2))
			if i == 10 {
				b.submitFor("a", "lasting", "feed", &wire.Step{Count: 1, Size: &wire.Size{MilliCpu: 6000}, Lasting: true})
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, b.runningOf("feed"), 1)
	})
}

// TestChangedQuotaIsInForceAtOnce guards against a quota that is raised and does not let waiting tasks start, and against stopping tasks when it is lowered.
func TestChangedQuotaIsInForceAtOnce(t *testing.T) {
	runOnSharedBench(t, 1, []*wire.Workspace{limitedTo("a", 4)}, func(b *testBench) {
		b.submitFor("a", "lasting", "feed", &wire.Step{Count: 12, Size: unit, Lasting: true})
		running := func(want int) {
			t.Helper()
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, b.runningOf("feed"), want)
		}
		running(4)
		b.setWorkspaces(limitedTo("a", 8))
		running(8)
		b.setWorkspaces(limitedTo("a", 2))
		running(8)
		b.setWorkspaces()
		running(12)
		b.table.View(func(v *workflow.Tables) {
			assert.Equal(t, v.InUse("a").Size, resource.Size{MilliCPU: 12000, MemoryMiB: 12000})
		})
	})
}
