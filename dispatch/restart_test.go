package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// submitEvery submits a workflow of one task at an interval for some time, and returns how many.
func (b *testBench) submitEvery(interval, total time.Duration) int {
	count := int(total / interval)
	for i := range count {
		b.submit("short", fmt.Sprintf("job-%d", i), &wire.Step{Count: 1, Size: unit, ExpectedMs: 1500})
		time.Sleep(interval)
	}
	return count
}

// TestStartAcceptedByALaterIncarnationRunsOnce guards against two runs of a task when its worker restarts under its id and the new incarnation accepts a start that was meant for the former.
func TestStartAcceptedByALaterIncarnationRunsOnce(t *testing.T) {
	for _, hidesClock := range []bool{false, true} {
		for _, announced := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1400 * time.Millisecond} {
			t.Run(fmt.Sprintf("clock hidden %v, announced after %v", hidesClock, announced), func(t *testing.T) {
				runOnBench(t, 3, big, func(b *testBench) {
					restarted := b.workers["w0"]
					b.locked(func() { restarted.hidesClock, restarted.stopTime = hidesClock, 500*time.Millisecond })
					time.AfterFunc(time.Second, func() { b.locked(func() { restarted.silent = true }) })
					time.AfterFunc(1300*time.Millisecond, func() { b.locked(restarted.restart) })
					time.AfterFunc(1300*time.Millisecond+announced, restarted.announce)
					count := b.submitEvery(50*time.Millisecond, 4*time.Second)
					time.Sleep(12 * time.Second)
					for i := range count {
						assert.Equal(t, b.state(fmt.Sprintf("job-%d", i)), workflow.StateCompleted)
					}
					b.table.View(func(s *workflow.Tables) { assert.Equal(t, len(s.Workers["w0"].Tasks), 0) })
				})
			})
		}
	}
}

// TestStartAcceptedByALaterIncarnationOutlastsTheLease guards against a second run of a task that a later incarnation accepted before it fell silent, since its lease is longer than the one granted to the former.
func TestStartAcceptedByALaterIncarnationOutlastsTheLease(t *testing.T) {
	for _, hidesClock := range []bool{false, true} {
		t.Run(fmt.Sprintf("clock hidden %v", hidesClock), func(t *testing.T) {
			runOnBench(t, 2, big, func(b *testBench) {
				restarted := b.workers["w0"]
				b.locked(func() { restarted.hidesClock = hidesClock })
				time.Sleep(5 * time.Second)
				b.locked(restarted.restart)
				b.submit("lasting", "job", &wire.Step{Count: 6, Size: unit, Lasting: true})
				time.Sleep(100 * time.Millisecond)
				b.locked(func() { restarted.silent = true })
				time.Sleep(10 * time.Second)
				for i := range 6 {
					assert.Assert(t, b.runCount(fmt.Sprintf("job.0.0.%d", i)) > 0)
				}
				assert.Equal(t, b.runningOf("job"), 6)
			})
		})
	}
}

// TestForeignAnnouncementOfAnAddressEndsNoWorker guards against tasks that are started a second time, and a worker that gets no more, because an announcement of another writer has the worker's address.
func TestForeignAnnouncementOfAnAddressEndsNoWorker(t *testing.T) {
	runOnBench(t, 3, big, func(b *testBench) {
		b.submit("lasting", "job", &wire.Step{Count: 2, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		foreign := &wire.CalledWorker{Id: "foreign", Born: 1000, Address: b.workerOf("job").record.GetAddress(), Pool: pool, Domain: "d", Capacity: big}
		b.apply(&wire.WorkflowCommand{Workers: []*wire.CalledWorker{foreign}})
		time.Sleep(5 * time.Second)
		for i := range 2 {
			assert.Equal(t, b.runCount(fmt.Sprintf("job.0.0.%d", i)), 1)
		}
		b.submit("short", "more", short(45))
		time.Sleep(800 * time.Millisecond)
		assert.Equal(t, b.state("more"), workflow.StateCompleted, "the worker gets no more tasks")
		b.table.View(func(s *workflow.Tables) { assert.Equal(t, len(s.Workers), 3, "the foreign worker is still called") })
	})
}

// TestAnnouncementOfAnotherAddressStartsNoSecondRun guards against a second run of each task of a worker, when an announcement with its id and a later birth names the address of another worker.
func TestAnnouncementOfAnotherAddressStartsNoSecondRun(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("new leader %v", newLeader), func(t *testing.T) {
			runOnBench(t, 2, big, func(b *testBench) {
				b.submit("lasting", "job", &wire.Step{Count: 6, Size: unit, Lasting: true})
				time.Sleep(5 * time.Second)
				moved := proto.CloneOf(b.workers["w0"].record)
				moved.Address, moved.Born = "w1:1", 9
				b.apply(&wire.WorkflowCommand{Workers: []*wire.CalledWorker{moved}})
				if newLeader {
					b.lead(2)
				}
				time.Sleep(30 * time.Second)
				assert.Equal(t, b.runningOf("job"), 6)
				b.table.View(func(s *workflow.Tables) { assert.Assert(t, s.Workers["w0"] == nil, "it is called for good") })
			})
		})
	}
}

// TestTasksOfAWorkerWhoseAddressAnotherHasMoveAtOnce guards against waiting for the lease of a worker that has ended for certain.
func TestTasksOfAWorkerWhoseAddressAnotherHasMoveAtOnce(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		b.submit("lasting", "job", &wire.Step{Count: 6, Size: unit, Lasting: true})
		time.Sleep(500 * time.Millisecond)
		b.locked(func() { b.workers["w0"].silent = true })
		time.Sleep(500 * time.Millisecond)
		b.locked(b.workers["w0"].restart)
		next := b.newWorker("w1", big)
		next.record.Address, next.record.Born = b.workers["w0"].record.GetAddress(), 1000
		b.locked(func() { b.at[next.record.GetAddress()] = next })
		next.announce()
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, b.runningOf("job"), 6)
		b.table.View(func(s *workflow.Tables) { assert.Assert(t, s.Workers["w0"] == nil) })
	})
}
