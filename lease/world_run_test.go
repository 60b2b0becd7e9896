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

// TestMain sets a fixed seed for the random schedules, so that a result is reproducible; -rapid.seed overrides it.
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

// commitOperatorCommand commits an operator's command through the leader.
func (w *simulation) commitOperatorCommand(c *wire.Command) *wire.CommandResult {
	if c.Change != nil {
		c.Change.Operator = "ana"
		c.Change.Sequence = uint64(len(w.log) + 1)
		c.Change.BaseVersion = w.replicas[w.leader].machine.Configuration().Version
	}
	return w.propose(w.replicas[w.leader], c)
}

func (w *simulation) setDomainOut(domain string, out bool) {
	w.commitOperatorCommand(&wire.Command{Change: &wire.Change{Operation: &wire.Change_SetDomain{SetDomain: &wire.Domain{Name: domain, Out: out}}}})
	delete(w.outSince, domain)
	if out {
		w.outSince[domain] = w.now
	}
}

func (w *simulation) setUp(t assert.TestingT) {
	for _, c := range []*wire.Change{
		{Operation: &wire.Change_PutClass{PutClass: &wire.Class{Name: "bids", Kind: wire.ClassKind_CLASS_KIND_SERVICE, TargetP99Us: 9}}},
		{Operation: &wire.Change_PutClass{PutClass: &wire.Class{Name: "lots", Kind: wire.ClassKind_CLASS_KIND_BATCH, TargetVolume: 9}}},
		{Operation: &wire.Change_PutTeam{PutTeam: &wire.Team{Name: "oak", Quota: &wire.Size{MilliCpu: 90000, MemoryMib: 90}}}},
	} {
		assert.Equal(t, w.commitOperatorCommand(&wire.Command{Change: c}).Change.Outcome, wire.Outcome_OUTCOME_ACCEPTED)
	}
	w.submit("bids", 2)
	w.submitBatchJobs()
}

func (w *simulation) submit(class string, tasks int32) {
	spec := &wire.Job{Class: class, Tasks: tasks, Team: "oak", Program: "p", Size: &wire.Size{MilliCpu: 1000, MemoryMib: 1}}
	w.commitOperatorCommand(&wire.Command{Submit: &wire.SubmitJob{Job: spec}})
}

// submitBatchJobs submits a batch job whenever few tasks are left.
func (w *simulation) submitBatchJobs() {
	open := 0
	w.replicas[w.leader].machine.EachTask(func(*wire.Job, *wire.Task) { open++ })
	if open < 8 && !w.noDisturbance {
		w.submit("lots", 3)
	}
	w.runAfter(time.Second, w.submitBatchJobs)
}

// injectFault injects one random fault or operator action. The brief allows each of them at any moment.
func (w *simulation) injectFault(t *rapid.T) {
	f := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")]
	lasts := time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * time.Millisecond
	kind := rapid.IntRange(0, 8).Draw(t, "disturbance")
	switch kind {
	case 0, 7:
		w.lostOfTwo[f.name] = rapid.IntRange(1, 2).Draw(t, "lost")
		w.runAfter(lasts, func() { w.lostOfTwo[f.name] = 0 })
	case 1:
		f.frozenUntil = w.now + lasts
	case 2:
		f.restart()
	case 3, 4:
		w.elect(1 - w.leader)
	case 6:
		w.commitOperatorCommand(&wire.Command{Cancel: &wire.CancelJob{Job: fmt.Sprintf("j%d", rapid.IntRange(1, 9).Draw(t, "job"))}})
	case 8:
		w.slowUntil = w.now + lasts
	}
	if kind == 5 || kind == 7 {
		w.setDomainOut(f.domain, true)
		w.runAfter(2*lasts, func() { w.setDomainOut(f.domain, false) })
	}
}

// checkCancelled checks that no task whose state is CANCELLED_NOT_RUN has run.
func (w *simulation) checkCancelled() {
	for _, j := range w.replicas[w.leader].machine.Snapshot().Jobs {
		for _, task := range j.Tasks {
			k := fmt.Sprintf("%s/%d", task.Job, task.Index)
			if task.State == wire.TaskState_TASK_STATE_CANCELLED_NOT_RUN && w.executed[k] {
				w.recordViolation("task %s ran, but its state is CANCELLED_NOT_RUN", k)
			}
		}
	}
}

// TestNeverTwoLiveExecutions checks promises 2, 3, 4 and 5 of the scheduler under cut connections, freezes, restarts, leader changes
// and failure domains that are out. Reports and answers are late, lost, duplicated or reordered, and clocks are off within the bound.
func TestNeverTwoLiveExecutions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"))
		w.setUp(t)
		for range rapid.IntRange(1, 25).Draw(t, "disturbances") {
			w.run(w.now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause"))*time.Millisecond)
			w.injectFault(t)
		}
		w.run(w.now + 4*leaseLength)
		w.checkCancelled()
		if len(w.violations) > 0 {
			t.Fatalf("%s", w.violations[0])
		}
		w.expectBatchTasksEnd(t)
	})
}

// expectBatchTasksEnd checks that every batch task ends once no more faults are injected.
func (w *simulation) expectBatchTasksEnd(t *rapid.T) {
	w.noDisturbance = true
	open := 1
	for n := 0; n < 60 && open > 0; n++ {
		w.run(w.now + leaseLength)
		open = 0
		w.replicas[w.leader].machine.EachTask(func(j *wire.Job, task *wire.Task) {
			if j.Class == "lots" && task.State < wire.TaskState_TASK_STATE_DONE {
				open++
			}
		})
	}
	w.checkCancelled()
	if len(w.violations) > 0 {
		t.Fatalf("%s", w.violations[0])
	}
	if open > 0 {
		t.Fatalf("%d batch tasks have not ended after 60 lease lengths without faults", open)
	}
}

// held returns how many tasks of a class the state holds on a worker, and how many actually execute there.
func (w *simulation) held(class, worker string) (held, executing int) {
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

// TestCutOffWorkerKeepsWhatItMay checks promise 5 of the scheduler: a short cut moves nothing, and a long one moves only the tasks that were lost.
func TestCutOffWorkerKeepsWhatItMay(t *testing.T) {
	w := newSimulation(3)
	w.steady = true
	w.setUp(t)
	w.run(2 * leaseLength)
	name := w.runningOn["j1/0"]
	services, executing := w.held("bids", name)
	assert.Assert(t, services > 0 && executing == services)
	held, executing := w.held("lots", name)
	assert.Assert(t, held > 0 && executing == held)

	starts := len(w.started)
	w.lostOfTwo[name] = 2
	w.run(w.now + leaseLength/2)
	w.lostOfTwo[name] = 0
	w.run(w.now + time.Second)
	assert.Equal(t, len(w.started), starts, "a short cut moves nothing")

	w.lostOfTwo[name] = 2
	w.run(w.now + 3*leaseLength)
	_, executing = w.held("lots", name)
	assert.Equal(t, executing, 0, "batch ends with its lease")
	held, executing = w.held("bids", name)
	assert.Equal(t, held, 0, "replaced")
	assert.Equal(t, executing, services, "services keep running")
	w.lostOfTwo[name] = 0
	w.run(w.now + leaseLength)
	total := 0
	for _, f := range w.workers {
		held, executing := w.held("bids", f.name)
		assert.Equal(t, held, executing)
		total += executing
	}
	assert.Equal(t, total, 2, "no service replica runs twice")
	assert.Equal(t, len(w.violations), 0)
}
