package lease_test

import (
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"
)

// TestMain gives the random schedules one seed, so that a verdict repeats; -rapid.seed names another.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// operate has the leader commit an operator's command.
func (w *world) operate(c *wire.Command) *wire.CommandResult {
	if c.Change != nil {
		c.Change.Operator = "ana"
		c.Change.Sequence = uint64(len(w.log) + 1)
		c.Change.BaseVersion = w.replicas[w.leader].machine.Configuration().Version
	}
	return w.propose(w.replicas[w.leader], c)
}

func (w *world) setOut(domain string, out bool) {
	w.operate(&wire.Command{Change: &wire.Change{Operation: &wire.Change_SetDomain{SetDomain: &wire.Domain{Name: domain, Out: out}}}})
	delete(w.outSince, domain)
	if out {
		w.outSince[domain] = w.now
	}
}

func (w *world) prepare(t assert.TestingT) {
	for _, c := range []*wire.Change{
		{Operation: &wire.Change_PutClass{PutClass: &wire.Class{Name: "bids", Kind: wire.ClassKind_CLASS_KIND_SERVICE, TargetP99Us: 9}}},
		{Operation: &wire.Change_PutClass{PutClass: &wire.Class{Name: "lots", Kind: wire.ClassKind_CLASS_KIND_BATCH, TargetVolume: 9}}},
		{Operation: &wire.Change_PutTeam{PutTeam: &wire.Team{Name: "oak", Quota: &wire.Size{MilliCpu: 90000, MemoryMib: 90}}}},
	} {
		assert.Equal(t, w.operate(&wire.Command{Change: c}).Change.Outcome, wire.Outcome_OUTCOME_ACCEPTED)
	}
	w.submit("bids", 2)
	w.keepBusy()
}

func (w *world) submit(class string, tasks int32) {
	spec := &wire.Job{Class: class, Tasks: tasks, Team: "oak", Program: "p", Size: &wire.Size{MilliCpu: 1000, MemoryMib: 1}}
	w.operate(&wire.Command{Submit: &wire.SubmitJob{Job: spec}})
}

// keepBusy submits a batch job whenever few tasks are left.
func (w *world) keepBusy() {
	open := 0
	w.replicas[w.leader].machine.Each(func(*wire.Job, *wire.Task) { open++ })
	if open < 8 && !w.calm {
		w.submit("lots", 3)
	}
	w.after(time.Second, w.keepBusy)
}

// disturb does one thing that the brief says may come at any moment.
func (w *world) disturb(t *rapid.T) {
	f := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")]
	lasts := time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * time.Millisecond
	kind := rapid.IntRange(0, 8).Draw(t, "disturbance")
	switch kind {
	case 0, 7:
		w.cut[f.name] = rapid.IntRange(1, 2).Draw(t, "lost")
		w.after(lasts, func() { w.cut[f.name] = 0 })
	case 1:
		f.frozen = w.now + lasts
	case 2:
		f.restart()
	case 3, 4:
		w.elect(1 - w.leader)
	case 6:
		w.operate(&wire.Command{Cancel: &wire.CancelJob{Job: fmt.Sprintf("j%d", rapid.IntRange(1, 9).Draw(t, "job"))}})
	case 8:
		w.storm = w.now + lasts
	}
	if kind == 5 || kind == 7 {
		w.setOut(f.domain, true)
		w.after(2*lasts, func() { w.setOut(f.domain, false) })
	}
}

// truth compares what the state tells of cancelled tasks with what ran.
func (w *world) truth() {
	for _, j := range w.replicas[w.leader].machine.Snapshot().Jobs {
		for _, task := range j.Tasks {
			k := fmt.Sprintf("%s/%d", task.Job, task.Index)
			if task.State == wire.TaskState_TASK_STATE_CANCELLED_NOT_RUN && w.executed[k] {
				w.fail("task %s ran and is told not to have", k)
			}
		}
	}
}

// TestNeverTwoLiveExecutions holds promises 2, 3, 4 and 5 of the scheduler under cuts, freezes, restarts, leader changes,
// domains out, and reports and answers that are late, lost, twice or out of order, with clocks off within the bound.
func TestNeverTwoLiveExecutions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.prepare(t)
		for range rapid.IntRange(1, 25).Draw(t, "disturbances") {
			w.run(w.now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause"))*time.Millisecond)
			w.disturb(t)
		}
		w.run(w.now + 4*length)
		w.truth()
		if len(w.faults) > 0 {
			t.Fatalf("%s", w.faults[0])
		}
		w.settle(t)
	})
}

// settle wants every batch task to end once nothing disturbs any more.
func (w *world) settle(t *rapid.T) {
	w.calm = true
	open := 1
	for n := 0; n < 60 && open > 0; n++ {
		w.run(w.now + length)
		open = 0
		w.replicas[w.leader].machine.Each(func(j *wire.Job, task *wire.Task) {
			if j.Class == "lots" && task.State < wire.TaskState_TASK_STATE_DONE {
				open++
			}
		})
	}
	w.truth()
	if len(w.faults) > 0 {
		t.Fatalf("%s", w.faults[0])
	}
	if open > 0 {
		t.Fatalf("%d tasks have not ended", open)
	}
}

// held returns how many tasks of a class the state holds on a worker, and how many truly execute there.
func (w *world) held(class, worker string) (held, executing int) {
	service := class == "bids"
	for _, f := range w.workers {
		for _, e := range f.tasks {
			if f.name == worker && e.service == service && e.report.Phase == wire.TaskEventKind_TASK_EVENT_KIND_RUNNING {
				executing++
			}
		}
	}
	for _, h := range w.replicas[w.leader].machine.OnWorker(worker) {
		if h.Service == service {
			held++
		}
	}
	return held, executing
}

// TestCutOffWorkerKeepsWhatItMay holds promise 5 of the scheduler: a short cut moves nothing, a long one only what was lost.
func TestCutOffWorkerKeepsWhatItMay(t *testing.T) {
	w := newWorld(3)
	w.steady = true
	w.prepare(t)
	w.run(2 * length)
	name := w.live["j1/0"]
	services, executing := w.held("bids", name)
	assert.Assert(t, services > 0 && executing == services)
	held, executing := w.held("lots", name)
	assert.Assert(t, held > 0 && executing == held)

	starts := len(w.started)
	w.cut[name] = 2
	w.run(w.now + length/2)
	w.cut[name] = 0
	w.run(w.now + time.Second)
	assert.Equal(t, len(w.started), starts, "a short cut moves nothing")

	w.cut[name] = 2
	w.run(w.now + 3*length)
	_, executing = w.held("lots", name)
	assert.Equal(t, executing, 0, "batch ends with its lease")
	held, executing = w.held("bids", name)
	assert.Equal(t, held, 0, "replaced")
	assert.Equal(t, executing, services, "services keep running")
	w.cut[name] = 0
	w.run(w.now + length)
	total := 0
	for _, f := range w.workers {
		held, executing := w.held("bids", f.name)
		assert.Equal(t, held, executing)
		total += executing
	}
	assert.Equal(t, total, 2, "nothing is doubled")
	assert.Equal(t, len(w.faults), 0)
}
