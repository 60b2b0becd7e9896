package fakeworker

import (
	"encoding/json"
	"testing"
	"time"

	"daisyswitch/resource"
	"daisyswitch/standin"
	"daisyswitch/worker"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// bench is a table with a clock that only the test advances.
type bench struct {
	*table
	now     time.Time
	effects []standin.TaskEffect
}

func newBench(o Options) *bench {
	b := &bench{now: time.Unix(1000, 0)}
	o.Scale, o.Capacity = 1, resource.Size{MilliCPU: 8000, MemoryMiB: 8192}
	b.table = newTable(o, func(e standin.TaskEffect) { b.effects = append(b.effects, e) })
	b.lastStep = b.now
	return b
}

// advanceClock advances the clock by d in steps of the worker's interval.
func (b *bench) advanceClock(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(stepInterval)
		b.step(b.now)
	}
}

func (b *bench) answer(age time.Duration, lease time.Duration, orders ...worker.Order) {
	b.applyReply(b.now.Add(-age), b.now, worker.Reply{LeaseMS: lease.Milliseconds(), Orders: orders})
}

func (b *bench) latest(t *testing.T) standin.TaskEffect {
	assert.Assert(t, len(b.effects) > 0)
	return b.effects[len(b.effects)-1]
}

func start(job, program string, expected time.Duration, service bool) worker.Order {
	return worker.Order{Kind: worker.OrderStart, Job: job, Attempt: 1, Program: program, Service: service, ExpectedMS: expected.Milliseconds(), Size: resource.Size{MilliCPU: 1000, MemoryMiB: 1024}}
}

func TestBatchStopsBeforeTheLeaseEndsAndServicesGoOn(t *testing.T) {
	b := newBench(Options{})
	b.answer(400*ms, time.Second, start("refunds", "refunds", time.Hour, false), start("bookings", "bookings", 0, true))
	b.advanceClock(480 * ms)
	assert.Equal(t, b.latest(t).Kind, standin.TaskStarted)
	b.advanceClock(20 * ms) // the lease counts from when the poll was sent, so it ends at 600 ms, less the margin
	assert.Equal(t, b.latest(t).Kind, standin.TaskStopped)
	assert.Equal(t, b.latest(t).Job, "refunds")
	assert.Equal(t, b.latest(t).Reason, standin.ReasonLeaseEnd)
	assert.Equal(t, b.committed().MilliCPU, int64(1000))
}

func TestRefusedLeaseStopsAll(t *testing.T) {
	b := newBench(Options{})
	b.answer(0, time.Second, start("refunds", "refunds", time.Hour, false), start("bookings", "bookings", 0, true))
	b.answer(0, 0)
	assert.Equal(t, b.committed(), resource.Size{})
}

func TestLateStartIsDropped(t *testing.T) {
	b := newBench(Options{})
	b.answer(startWithin, 10*time.Second, start("in-time", "refunds", time.Second, false))
	assert.Equal(t, len(b.effects), 1)
	b.answer(startWithin+ms, 10*time.Second, start("late", "refunds", time.Second, false))
	assert.Equal(t, len(b.effects), 1)
	b.answer(10*time.Second, 10*time.Second, start("after-lease", "refunds", time.Second, false))
	assert.Equal(t, b.latest(t).Kind, standin.TaskStopped) // the task started in time
	assert.Equal(t, len(b.effects), 2)
	assert.Equal(t, b.dropped, 2)
}

func TestStartAgainIsOneStart(t *testing.T) {
	b := newBench(Options{})
	order := start("refunds", "refunds", 100*ms, false)
	b.answer(0, 10*time.Second, order)
	b.advanceClock(time.Second)
	b.answer(0, 10*time.Second, order) // control has not yet recorded its end
	assert.Equal(t, len(b.effects), 2)
	assert.Equal(t, b.latest(t).Kind, standin.TaskEnded)
	forget := order
	forget.Kind = worker.OrderForget
	b.answer(0, 10*time.Second, forget)
	assert.Equal(t, len(b.report(b.now)), 0)
}

func TestEvictedTaskGoesOnFromItsCheckpoint(t *testing.T) {
	b := newBench(Options{})
	order := start("refunds", "refunds", 10*time.Second, false)
	b.answer(0, time.Minute, order)
	b.advanceClock(2500 * ms)
	evict := order
	evict.Kind = worker.OrderCheckpoint
	b.answer(0, time.Minute, evict)
	report := b.report(b.now)[0]
	assert.Equal(t, report.Phase, worker.PhaseStopped)
	assert.Equal(t, string(report.CheckpointData), "2500")

	other := newBench(Options{})
	order.Attempt, order.Checkpoint, order.CheckpointData = 2, report.Checkpoint, report.CheckpointData
	other.answer(0, time.Minute, order)
	assert.Equal(t, other.latest(t).Kind, standin.TaskResumed)
	whole, resumed := newBench(Options{}), other
	order.Attempt, order.Checkpoint, order.CheckpointData = 1, 0, nil
	whole.answer(0, time.Minute, order)
	whole.advanceClock(2500 * ms)
	assert.Equal(t, whole.tasks[attemptKeyOf(order)].completedWork, resumed.tasks[attemptKey{"refunds", 0, 2}].completedWork)
}

func TestNeighboursAndThrottlesSlow(t *testing.T) {
	b := newBench(Options{})
	batch := start("valuations", "valuations", time.Hour, false)
	b.answer(0, time.Minute, start("bids", "bids", 0, true))
	alone := b.report(b.now)[0].P99US
	b.answer(0, time.Minute, batch)
	beside := b.report(b.now)[0].P99US
	batch.Kind, batch.ThrottlePercent = worker.OrderThrottle, 80
	b.answer(0, time.Minute, batch)
	throttled := b.report(b.now)
	assert.Assert(t, alone < throttled[0].P99US && throttled[0].P99US < beside)
	assert.Assert(t, throttled[1].ProgressPPM < 210000)
}

func TestResizeCountsBeforeTheStartBesideIt(t *testing.T) {
	b := newBench(Options{})
	first := start("a", "refunds", time.Hour, false)
	first.Size.MilliCPU = 8000
	b.answer(0, time.Minute, first)
	used := b.tasks[attemptKeyOf(first)].currentUse()
	resize := first
	resize.Kind, resize.Size.MilliCPU = worker.OrderResize, 7000
	b.answer(0, time.Minute, resize, start("b", "refunds", time.Hour, false))
	assert.Equal(t, b.latest(t).Committed.MilliCPU, int64(8000))
	assert.Equal(t, b.report(b.now)[0].Size.MilliCPU, int64(7000))
	assert.Equal(t, b.tasks[attemptKeyOf(first)].currentUse(), used)
}

func TestUseIsReportedLate(t *testing.T) {
	b := newBench(Options{Lag: time.Second})
	b.answer(0, time.Minute, start("refunds", "refunds", time.Hour, false))
	b.advanceClock(980 * ms)
	assert.Equal(t, b.report(b.now)[0].Used, resource.Size{})
	b.advanceClock(40 * ms)
	assert.Assert(t, b.report(b.now)[0].Used.MilliCPU > 0)
}

func TestFailingProgramsAndWorkersFail(t *testing.T) {
	for program, o := range map[string]Options{"fail-always": {}, "refunds": {FailAll: true}} {
		b := newBench(o)
		b.answer(0, time.Minute, start("j", program, time.Hour, false))
		b.advanceClock(failAfter)
		assert.Equal(t, b.latest(t).Reason, standin.ReasonFailed)
	}
}

// FuzzReply checks that no reply makes the table run batch tasks without a lease.
func FuzzReply(f *testing.F) {
	f.Add([]byte(`{"lease_ms": 1000, "orders": [{"kind": "start", "job": "a", "size": {"milli_cpu": 1}}]}`))
	f.Add([]byte(`{"lease_ms": 9223372036854775807, "orders": [{"kind": "start", "job": "a", "expected_ms": -1, "checkpoint": 3, "checkpoint_data": "LTE="}]}`))
	f.Add([]byte(`{"lease_ms": 0, "refusal": "no quorum"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var reply worker.Reply
		if json.Unmarshal(body, &reply) != nil {
			return
		}
		b := newBench(Options{})
		b.applyReply(b.now, b.now, reply)
		b.advanceClock(2 * time.Second)
		for key, task := range b.tasks {
			assert.Assert(t, !b.lease.IsZero() || task.order.Service || !task.running(), "batch task %v runs without a lease", key)
		}
		if reply.LeaseMS <= 0 {
			assert.Equal(t, len(b.effects), 0)
		}
	})
}

// TestStopOfAnUnknownAttemptIsAnswered sends a stop for an attempt whose start was lost in transit.
func TestStopOfAnUnknownAttemptIsAnswered(t *testing.T) {
	b := newBench(Options{})
	o := start("refunds", "refunds", time.Hour, false)
	stop := o
	stop.Kind = worker.OrderStop
	b.answer(0, time.Second, stop)
	reports := b.report(b.now)
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].Phase, worker.PhaseStopped)
	b.answer(0, time.Second, o)
	assert.Equal(t, len(b.effects), 0, "a start that arrived after its stop was executed")
	forget := o
	forget.Kind = worker.OrderForget
	b.answer(0, time.Second, forget)
	assert.Equal(t, len(b.report(b.now)), 0)
	assert.Equal(t, len(b.effects), 0)
}
