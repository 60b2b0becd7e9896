package lease_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"daisyswitch/state"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
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
	size := &wire.Size{MilliCpu: 1000, MemoryMib: 1}
	for _, c := range []*wire.Change{
		{Operation: &wire.Change_PutClass{PutClass: &wire.Class{Name: "bids", Kind: wire.ClassKind_CLASS_KIND_SERVICE, TargetP99Us: 9}}},
		{Operation: &wire.Change_PutClass{PutClass: &wire.Class{Name: "lots", Kind: wire.ClassKind_CLASS_KIND_BATCH, TargetVolume: 9}}},
		{Operation: &wire.Change_PutTeam{PutTeam: &wire.Team{Name: "oak", Quota: &wire.Size{MilliCpu: 90000, MemoryMib: 90}}}},
	} {
		assert.Equal(t, w.operate(&wire.Command{Change: c}).Change.Outcome, wire.Outcome_OUTCOME_ACCEPTED)
	}
	for _, spec := range []*wire.Job{{Class: "bids", Tasks: 2}, {Class: "lots", Tasks: 4}, {Class: "lots", Tasks: 3}} {
		spec.Team, spec.Program, spec.Size = "oak", "p", size
		assert.Equal(t, w.operate(&wire.Command{Submit: &wire.SubmitJob{Job: spec}}).Job.Outcome, wire.Outcome_OUTCOME_ACCEPTED)
	}
}

// disturb does one thing that the brief says may come at any moment.
func (w *world) disturb(t *rapid.T) {
	f := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")]
	lasts := time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 6).Draw(t, "disturbance") {
	case 0:
		w.cut[f.name] = true
		w.after(lasts, func() { w.cut[f.name] = false })
	case 1:
		f.frozen = w.now + lasts
	case 2:
		f.restart()
	case 3, 4:
		w.elect(1 - w.leader)
	case 5:
		w.setOut(f.domain, true)
		w.after(lasts, func() { w.setOut(f.domain, false) })
	case 6:
		w.operate(&wire.Command{Cancel: &wire.CancelJob{Job: fmt.Sprintf("j%d", rapid.IntRange(1, 3).Draw(t, "job"))}})
	}
}

// truth compares what the state tells of cancelled tasks with what ran.
func (w *world) truth() {
	for i := range 3 {
		for _, task := range w.replicas[w.leader].machine.Job(fmt.Sprintf("j%d", i+1)).Tasks {
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
	m := func() *state.Machine { return w.replicas[w.leader].machine }
	for range 60 {
		w.run(w.now + length)
	}
	w.truth()
	m().Each(func(j *wire.Job, task *wire.Task) {
		if j.Class == "lots" {
			t.Fatalf("task %v has not ended", task)
		}
	})
	if len(w.faults) > 0 {
		t.Fatalf("%s", w.faults[0])
	}
}
