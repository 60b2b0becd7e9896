package lease_test

import (
	"testing"
	"time"

	"daisyswitch/lease"
	"daisyswitch/state"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

var startTime = time.Unix(1000, 0)

const (
	starting  = wire.TaskState_TASK_STATE_STARTING
	stopping  = wire.TaskState_TASK_STATE_STOPPING
	orderStop = wire.OrderKind_ORDER_KIND_STOP
)

func domainIn(string) bool  { return false }
func domainOut(string) bool { return true }

// newLeadingTable returns a table that leads since startTime, and the record of its only worker, w.
func newLeadingTable() (*lease.Table, *wire.WorkerRecord) {
	record := &wire.WorkerRecord{Name: "w", Domain: "north", Incarnation: "a", Capacity: &wire.Size{MilliCpu: 1000}}
	t := lease.New(lease.Options{Length: leaseLength, DriftPPM: driftPPM})
	t.Lead(startTime)
	t.SetWorker(record)
	return t, record
}

func report(record *wire.WorkerRecord, sequence uint64, tasks ...*wire.TaskReport) *wire.WorkerReport {
	return &wire.WorkerReport{Worker: record, Sequence: sequence, Tasks: tasks}
}

func heldTask(s wire.TaskState) []state.Held {
	return []state.Held{{Job: &wire.Job{Id: "j1"}, Task: &wire.Task{Job: "j1", Attempt: 1, State: s, Worker: "w"}}}
}

func orderKinds(r *wire.WorkerReply) []wire.OrderKind {
	var all []wire.OrderKind
	for _, o := range r.Orders {
		all = append(all, o.Kind)
	}
	return all
}

func TestLeaseOutlastsTheSlowestWorkersClock(t *testing.T) {
	table, record := newLeadingTable()
	r := report(record, 1)
	assert.Equal(t, table.Receive(startTime, r, nil, record).Refusal, "")
	answered := startTime.Add(time.Second)
	assert.Equal(t, table.Answer(answered, r, nil, domainIn, nil).LeaseMs, leaseLength.Milliseconds())
	// A worker whose clock is slow by the bound counts the length for length/(1-drift); ours, fast by it, shows (1+drift) of that.
	last := answered.Add(leaseLength * (1_000_000 + driftPPM) / (1_000_000 - driftPPM))
	assert.Equal(t, len(table.Expired(last)), 0)
	assert.DeepEqual(t, table.Expired(last.Add(time.Second)), []string{"w"})
	assert.Assert(t, table.Receive(last, report(record, 2), nil, record).Refusal != "", "its end is being recorded")
	assert.Equal(t, table.Answer(last, r, nil, domainIn, nil).LeaseMs, int64(0))
	assert.DeepEqual(t, table.Expired(startTime), []string{"w"})
	table.SetWorker(lease.Gone(record))
	assert.Equal(t, len(table.Expired(last.Add(time.Hour))), 0)
	assert.Assert(t, table.Receive(last, report(record, 3), nil, lease.Gone(record)).Worker != nil)
	table.SetWorker(lease.Gone(record)) // repeated after the worker has returned
	assert.DeepEqual(t, table.Expired(last.Add(time.Hour)), []string{"w"})
}

func TestNewLeaderWaitsOutALease(t *testing.T) {
	table, record := newLeadingTable()
	table.SetWorker(&wire.WorkerRecord{Name: "v", Incarnation: "a"})
	assert.Equal(t, len(table.Expired(startTime.Add(leaseLength))), 0)
	assert.DeepEqual(t, table.Expired(startTime.Add(2*leaseLength)), []string{"v", "w"})
	table.Lead(startTime.Add(time.Hour))
	table.SetWorker(record)
	assert.Equal(t, len(table.Expired(startTime.Add(time.Hour+leaseLength))), 0)
	assert.DeepEqual(t, table.Expired(startTime.Add(time.Hour+2*leaseLength)), []string{"w"})
}

// TestEarlierLeadershipIsForgotten guards against stale worker state: a worker that was gone returns and restarts while another replica leads.
func TestEarlierLeadershipIsForgotten(t *testing.T) {
	table, record := newLeadingTable()
	table.SetWorker(lease.Gone(record))
	table.Lead(startTime.Add(time.Hour))
	again := &wire.WorkerRecord{Name: "w", Domain: "north", Incarnation: "b", Capacity: record.Capacity}
	assert.Assert(t, table.Receive(startTime.Add(time.Hour), report(again, 1), nil, record).Refusal != "")
}

func TestRestartedWorkerWaitsForItsFormerLease(t *testing.T) {
	table, record := newLeadingTable()
	again := &wire.WorkerRecord{Name: "w", Domain: "north", Incarnation: "b", Capacity: record.Capacity}
	assert.Assert(t, table.Receive(startTime.Add(leaseLength), report(again, 1), heldTask(stopping), record).Refusal != "")
	o := table.Receive(startTime.Add(2*leaseLength), report(again, 2), heldTask(stopping), record)
	assert.Equal(t, o.Worker.Incarnation, "b")
	assert.Equal(t, len(o.Events), 0, "attempts of the former incarnation may have run")
	assert.Assert(t, table.Receive(startTime.Add(9*leaseLength), report(record, 9), nil, again).Refusal != "", "fenced off")
}

func TestStartIsSentAgainUnderItsAttempt(t *testing.T) {
	table, record := newLeadingTable()
	first := report(record, 1)
	table.Receive(startTime, first, nil, record)
	assert.DeepEqual(t, orderKinds(table.Answer(startTime, first, heldTask(starting), domainIn, nil)), []wire.OrderKind{wire.OrderKind_ORDER_KIND_START})
	assert.Equal(t, len(table.Receive(startTime, first, heldTask(stopping), record).Events), 0, "the start may still be in transit")
	second := report(record, 2)
	assert.Equal(t, len(table.Receive(startTime, second, heldTask(starting), record).Events), 0)
	assert.Assert(t, table.Receive(startTime, first, nil, record).Refusal != "", "older report")
	assert.Equal(t, table.Answer(startTime, first, nil, domainIn, nil).LeaseMs, int64(0), "older report")
	assert.DeepEqual(t, orderKinds(table.Answer(startTime, second, heldTask(starting), domainIn, nil)), []wire.OrderKind{wire.OrderKind_ORDER_KIND_START})

	third := report(record, 3)
	table.Receive(startTime, third, heldTask(starting), record)
	reply := table.Answer(startTime, third, heldTask(starting), domainOut, nil)
	assert.Equal(t, len(reply.Orders), 0, "domain out")
	assert.Equal(t, reply.LeaseMs, leaseLength.Milliseconds())
	fourth := report(record, 4)
	events := table.Receive(startTime, fourth, heldTask(starting), record).Events
	assert.Equal(t, events[0].Kind, wire.TaskEventKind_TASK_EVENT_KIND_NOT_STARTED)
	assert.Equal(t, len(table.Answer(startTime, fourth, heldTask(starting), domainIn, nil).Orders), 0, "no start is sent after NOT_STARTED")
}

func TestStartOfAnEarlierLeaderIsNeverToldNotToHaveRun(t *testing.T) {
	table, record := newLeadingTable()
	for n := uint64(5); n < 8; n++ { // stale reports, from before the earlier leader's order
		r := report(record, n)
		assert.Equal(t, len(table.Receive(startTime, r, heldTask(stopping), record).Events), 0)
		assert.DeepEqual(t, orderKinds(table.Answer(startTime, r, heldTask(stopping), domainIn, nil)), []wire.OrderKind{orderStop})
	}
}

func TestOrdersForReportedTasks(t *testing.T) {
	table, record := newLeadingTable()
	task := func(attempt uint32, phase wire.TaskEventKind) *wire.TaskReport {
		return &wire.TaskReport{Task: &wire.TaskRef{Job: "j1", Attempt: attempt}, Phase: phase, ThrottlePercent: 10}
	}
	running, done := wire.TaskEventKind_TASK_EVENT_KIND_RUNNING, wire.TaskEventKind_TASK_EVENT_KIND_DONE
	r := report(record, 1, task(1, running), task(2, running), task(3, done))
	held := heldTask(starting)
	events := table.Receive(startTime, r, held, record).Events
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].Kind, running)
	assert.Equal(t, events[1].Kind, done, "the end of an attempt that is no longer held")
	assert.Equal(t, events[1].Task.Attempt, uint32(3))
	throttles := map[state.Ref]int32{{Job: "j1", Attempt: 1}: 10}
	forget, throttle := wire.OrderKind_ORDER_KIND_FORGET, wire.OrderKind_ORDER_KIND_THROTTLE
	assert.DeepEqual(t, orderKinds(table.Answer(startTime, r, held, domainIn, throttles)), []wire.OrderKind{orderStop, forget})
	assert.DeepEqual(t, orderKinds(table.Answer(startTime, r, held, domainIn, nil)), []wire.OrderKind{throttle, orderStop, forget})
	assert.DeepEqual(t, orderKinds(table.Answer(startTime, r, heldTask(stopping), domainIn, nil)), []wire.OrderKind{wire.OrderKind_ORDER_KIND_CHECKPOINT, orderStop, forget})
	held = heldTask(stopping)
	held[0].Task.Cancelled = true
	assert.DeepEqual(t, orderKinds(table.Answer(startTime, r, held, domainIn, nil)), []wire.OrderKind{orderStop, orderStop, forget})
	assert.DeepEqual(t, orderKinds(table.Answer(startTime, report(record, 1), heldTask(stateRunning), domainIn, nil)), []wire.OrderKind{orderStop})
}

func TestSizesAreToldBeforeStartsThatTakeTheRoom(t *testing.T) {
	table, record := newLeadingTable()
	held := heldTask(starting)
	var tasks []*wire.TaskReport
	for i, told := range []int64{1000, 1000, 400, 1000} {
		size := &wire.Size{MilliCpu: told}
		if i == 3 {
			size = nil // a worker that does not report sizes
		}
		tasks = append(tasks, &wire.TaskReport{Task: &wire.TaskRef{Job: "j2", Index: int32(i), Attempt: 1}, Phase: wire.TaskEventKind_TASK_EVENT_KIND_RUNNING, Size: size})
		held = append(held, state.Held{Job: &wire.Job{Id: "j2"}, Task: &wire.Task{Job: "j2", Index: int32(i), Attempt: 1, State: stateRunning, Worker: "w", Committed: &wire.Size{MilliCpu: int64(400 + 300*(i%3))}}})
	}
	r := report(record, 1, tasks...)
	table.Receive(startTime, r, held, record)
	reply := table.Answer(startTime, r, held, domainIn, nil)
	resize := wire.OrderKind_ORDER_KIND_RESIZE
	assert.DeepEqual(t, orderKinds(reply), []wire.OrderKind{resize, resize, resize, wire.OrderKind_ORDER_KIND_START})
	var sizes []int64
	for _, o := range reply.Orders[:3] {
		sizes = append(sizes, o.Size.MilliCpu)
	}
	assert.DeepEqual(t, sizes, []int64{400, 700, 1000}) // the last grows
}

const stateRunning = wire.TaskState_TASK_STATE_RUNNING

func TestLeavingWorkerGoesOnceItRunsNothing(t *testing.T) {
	table, record := newLeadingTable()
	r := report(record, 1)
	r.Leaving = true
	events := table.Receive(startTime, r, heldTask(starting), record).Events
	assert.Equal(t, events[len(events)-1].Kind, wire.TaskEventKind_TASK_EVENT_KIND_STOPPING)
	r.Sequence = 2
	assert.Assert(t, table.Receive(startTime, r, nil, record).Worker.Gone)
	assert.Equal(t, table.Answer(startTime, r, nil, domainIn, nil).LeaseMs, int64(0))
	assert.DeepEqual(t, table.Expired(startTime), []string{"w"})
	assert.Assert(t, table.Receive(startTime, report(record, 3), nil, record).Refusal != "")
}

// BenchmarkReport receives and answers the report of a worker with 21 running tasks.
func BenchmarkReport(b *testing.B) {
	table, record := newLeadingTable()
	var held []state.Held
	r := report(record, 1)
	for i := range int32(21) {
		held = append(held, state.Held{Job: &wire.Job{Id: "j1"}, Task: &wire.Task{Job: "j1", Index: i, Attempt: 1, State: stateRunning}})
		r.Tasks = append(r.Tasks, &wire.TaskReport{Task: &wire.TaskRef{Job: "j1", Index: i, Attempt: 1}, Phase: wire.TaskEventKind_TASK_EVENT_KIND_RUNNING})
	}
	b.ReportAllocs()
	for range b.N {
		r.Sequence++
		table.Receive(startTime, r, held, record)
		table.Answer(startTime, r, held, domainIn, nil)
	}
}
