package lease_test

import (
	"testing"
	"time"

	"daisyswitch/lease"
	"daisyswitch/state"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

var begin = time.Unix(1000, 0)

const (
	starting  = wire.TaskState_TASK_STATE_STARTING
	stopping  = wire.TaskState_TASK_STATE_STOPPING
	orderStop = wire.OrderKind_ORDER_KIND_STOP
)

func in(string) bool  { return false }
func out(string) bool { return true }

// one is a table that led at begin and knows the worker w by its record.
func one() (*lease.Table, *wire.WorkerRecord) {
	record := &wire.WorkerRecord{Name: "w", Domain: "north", Incarnation: "a", Capacity: &wire.Size{MilliCpu: 1000}}
	t := lease.New(lease.Options{Length: length, DriftPPM: driftPPM})
	t.Lead(begin)
	t.SetWorker(record)
	return t, record
}

func report(record *wire.WorkerRecord, sequence uint64, tasks ...*wire.TaskReport) *wire.WorkerReport {
	return &wire.WorkerReport{Worker: record, Sequence: sequence, Tasks: tasks}
}

func holds(s wire.TaskState) []state.Held {
	return []state.Held{{Job: &wire.Job{Id: "j1"}, Task: &wire.Task{Job: "j1", Attempt: 1, State: s, Worker: "w"}}}
}

func kinds(r *wire.WorkerReply) []wire.OrderKind {
	var all []wire.OrderKind
	for _, o := range r.Orders {
		all = append(all, o.Kind)
	}
	return all
}

func TestLeaseOutlastsTheSlowestWorkersClock(t *testing.T) {
	table, record := one()
	r := report(record, 1)
	assert.Equal(t, table.Receive(begin, r, nil, record).Refusal, "")
	answered := begin.Add(time.Second)
	assert.Equal(t, table.Answer(answered, r, nil, in, nil).LeaseMs, length.Milliseconds())
	// A worker whose clock is slow by the bound counts the length for length/(1-drift); ours, fast by it, shows (1+drift) of that.
	last := answered.Add(length * (1_000_000 + driftPPM) / (1_000_000 - driftPPM))
	assert.Equal(t, len(table.Expired(last)), 0)
	assert.DeepEqual(t, table.Expired(last.Add(time.Second)), []string{"w"})
	assert.Assert(t, table.Receive(last, report(record, 2), nil, record).Refusal != "", "its end is being recorded")
	assert.Equal(t, table.Answer(last, r, nil, in, nil).LeaseMs, int64(0))
	assert.DeepEqual(t, table.Expired(begin), []string{"w"})
	table.SetWorker(lease.Gone(record))
	assert.Equal(t, len(table.Expired(last.Add(time.Hour))), 0)
	assert.Assert(t, table.Receive(last, report(record, 3), nil, lease.Gone(record)).Worker != nil)
	table.SetWorker(lease.Gone(record)) // told late
	assert.DeepEqual(t, table.Expired(last.Add(time.Hour)), []string{"w"})
}

func TestNewLeaderWaitsOutALease(t *testing.T) {
	table, record := one()
	table.SetWorker(&wire.WorkerRecord{Name: "v", Incarnation: "a"})
	assert.Equal(t, len(table.Expired(begin.Add(length))), 0)
	assert.DeepEqual(t, table.Expired(begin.Add(2*length)), []string{"v", "w"})
	table.Lead(begin.Add(time.Hour))
	table.SetWorker(record)
	assert.Equal(t, len(table.Expired(begin.Add(time.Hour+length))), 0)
	assert.DeepEqual(t, table.Expired(begin.Add(time.Hour+2*length)), []string{"w"})
}

// TestEarlierLeadershipIsForgotten has a worker that was gone come back and restart while another replica led.
func TestEarlierLeadershipIsForgotten(t *testing.T) {
	table, record := one()
	table.SetWorker(lease.Gone(record))
	table.Lead(begin.Add(time.Hour))
	again := &wire.WorkerRecord{Name: "w", Domain: "north", Incarnation: "b", Capacity: record.Capacity}
	assert.Assert(t, table.Receive(begin.Add(time.Hour), report(again, 1), nil, record).Refusal != "")
}

func TestRestartedWorkerWaitsForItsFormerLease(t *testing.T) {
	table, record := one()
	again := &wire.WorkerRecord{Name: "w", Domain: "north", Incarnation: "b", Capacity: record.Capacity}
	assert.Assert(t, table.Receive(begin.Add(length), report(again, 1), holds(stopping), record).Refusal != "")
	o := table.Receive(begin.Add(2*length), report(again, 2), holds(stopping), record)
	assert.Equal(t, o.Worker.Incarnation, "b")
	assert.Equal(t, len(o.Events), 0, "what the former one held may have run")
	assert.Assert(t, table.Receive(begin.Add(9*length), report(record, 9), nil, again).Refusal != "", "fenced off")
}

func TestStartIsSentAgainUnderItsAttempt(t *testing.T) {
	table, record := one()
	first := report(record, 1)
	table.Receive(begin, first, nil, record)
	assert.DeepEqual(t, kinds(table.Answer(begin, first, holds(starting), in, nil)), []wire.OrderKind{wire.OrderKind_ORDER_KIND_START})
	assert.Equal(t, len(table.Receive(begin, first, holds(stopping), record).Events), 0, "may be on its way")
	second := report(record, 2)
	assert.Equal(t, len(table.Receive(begin, second, holds(starting), record).Events), 0)
	assert.Assert(t, table.Receive(begin, first, nil, record).Refusal != "", "older report")
	assert.Equal(t, table.Answer(begin, first, nil, in, nil).LeaseMs, int64(0), "older report")
	assert.DeepEqual(t, kinds(table.Answer(begin, second, holds(starting), in, nil)), []wire.OrderKind{wire.OrderKind_ORDER_KIND_START})

	third := report(record, 3)
	table.Receive(begin, third, holds(starting), record)
	reply := table.Answer(begin, third, holds(starting), out, nil)
	assert.Equal(t, len(reply.Orders), 0, "domain out")
	assert.Equal(t, reply.LeaseMs, length.Milliseconds())
	fourth := report(record, 4)
	events := table.Receive(begin, fourth, holds(starting), record).Events
	assert.Equal(t, events[0].Kind, wire.TaskEventKind_TASK_EVENT_KIND_NOT_STARTED)
	assert.Equal(t, len(table.Answer(begin, fourth, holds(starting), in, nil).Orders), 0, "never again once told")
}

func TestStartOfAnEarlierLeaderIsNeverToldNotToHaveRun(t *testing.T) {
	table, record := one()
	for n := uint64(5); n < 8; n++ { // stale reports, from before the earlier leader's order
		r := report(record, n)
		assert.Equal(t, len(table.Receive(begin, r, holds(stopping), record).Events), 0)
		assert.DeepEqual(t, kinds(table.Answer(begin, r, holds(stopping), in, nil)), []wire.OrderKind{orderStop})
	}
}

func TestOrdersForReportedTasks(t *testing.T) {
	table, record := one()
	task := func(attempt uint32, phase wire.TaskEventKind) *wire.TaskReport {
		return &wire.TaskReport{Task: &wire.TaskRef{Job: "j1", Attempt: attempt}, Phase: phase, ThrottlePercent: 10}
	}
	running, done := wire.TaskEventKind_TASK_EVENT_KIND_RUNNING, wire.TaskEventKind_TASK_EVENT_KIND_DONE
	r := report(record, 1, task(1, running), task(2, running), task(3, done))
	held := holds(starting)
	events := table.Receive(begin, r, held, record).Events
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].Kind, running)
	assert.Equal(t, events[1].Kind, done, "the end of an attempt that is no longer held")
	assert.Equal(t, events[1].Task.Attempt, uint32(3))
	throttles := map[state.Ref]int32{{Job: "j1", Attempt: 1}: 10}
	forget, throttle := wire.OrderKind_ORDER_KIND_FORGET, wire.OrderKind_ORDER_KIND_THROTTLE
	assert.DeepEqual(t, kinds(table.Answer(begin, r, held, in, throttles)), []wire.OrderKind{orderStop, forget})
	assert.DeepEqual(t, kinds(table.Answer(begin, r, held, in, nil)), []wire.OrderKind{throttle, orderStop, forget})
	assert.DeepEqual(t, kinds(table.Answer(begin, r, holds(stopping), in, nil)), []wire.OrderKind{wire.OrderKind_ORDER_KIND_CHECKPOINT, orderStop, forget})
	held = holds(stopping)
	held[0].Task.Cancelled = true
	assert.DeepEqual(t, kinds(table.Answer(begin, r, held, in, nil)), []wire.OrderKind{orderStop, orderStop, forget})
	assert.DeepEqual(t, kinds(table.Answer(begin, report(record, 1), holds(stateRunning), in, nil)), []wire.OrderKind{orderStop})
}

func TestSizesAreToldBeforeStartsThatTakeTheRoom(t *testing.T) {
	table, record := one()
	held := holds(starting)
	var tasks []*wire.TaskReport
	for i, told := range []int64{1000, 1000, 400, 1000} {
		size := &wire.Size{MilliCpu: told}
		if i == 3 {
			size = nil // a worker that does not say
		}
		tasks = append(tasks, &wire.TaskReport{Task: &wire.TaskRef{Job: "j2", Index: int32(i), Attempt: 1}, Phase: wire.TaskEventKind_TASK_EVENT_KIND_RUNNING, Size: size})
		held = append(held, state.Held{Job: &wire.Job{Id: "j2"}, Task: &wire.Task{Job: "j2", Index: int32(i), Attempt: 1, State: stateRunning, Worker: "w", Committed: &wire.Size{MilliCpu: int64(400 + 300*(i%3))}}})
	}
	r := report(record, 1, tasks...)
	table.Receive(begin, r, held, record)
	reply := table.Answer(begin, r, held, in, nil)
	resize := wire.OrderKind_ORDER_KIND_RESIZE
	assert.DeepEqual(t, kinds(reply), []wire.OrderKind{resize, resize, resize, wire.OrderKind_ORDER_KIND_START})
	var sizes []int64
	for _, o := range reply.Orders[:3] {
		sizes = append(sizes, o.Size.MilliCpu)
	}
	assert.DeepEqual(t, sizes, []int64{400, 700, 1000}) // the last grows
}

const stateRunning = wire.TaskState_TASK_STATE_RUNNING

func TestLeavingWorkerGoesOnceItRunsNothing(t *testing.T) {
	table, record := one()
	r := report(record, 1)
	r.Leaving = true
	events := table.Receive(begin, r, holds(starting), record).Events
	assert.Equal(t, events[len(events)-1].Kind, wire.TaskEventKind_TASK_EVENT_KIND_STOPPING)
	r.Sequence = 2
	assert.Assert(t, table.Receive(begin, r, nil, record).Worker.Gone)
	assert.Equal(t, table.Answer(begin, r, nil, in, nil).LeaseMs, int64(0))
	assert.DeepEqual(t, table.Expired(begin), []string{"w"})
	assert.Assert(t, table.Receive(begin, report(record, 3), nil, record).Refusal != "")
}

// BenchmarkReport takes in and answers the report of a worker with 21 running tasks.
func BenchmarkReport(b *testing.B) {
	table, record := one()
	var held []state.Held
	r := report(record, 1)
	for i := range int32(21) {
		held = append(held, state.Held{Job: &wire.Job{Id: "j1"}, Task: &wire.Task{Job: "j1", Index: i, Attempt: 1, State: stateRunning}})
		r.Tasks = append(r.Tasks, &wire.TaskReport{Task: &wire.TaskRef{Job: "j1", Index: i, Attempt: 1}, Phase: wire.TaskEventKind_TASK_EVENT_KIND_RUNNING})
	}
	b.ReportAllocs()
	for range b.N {
		r.Sequence++
		table.Receive(begin, r, held, record)
		table.Answer(begin, r, held, in, nil)
	}
}
