package workflow_test

import (
	"fmt"
	"slices"
	"testing"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

func depart(t *workflow.Table, worker string, born int64) {
	t.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{{Id: worker, Born: born, Departed: true}}})
}

func inState(t *workflow.Table, worker string) bool {
	in := false
	t.View(func(v *workflow.Tables) { in = v.Workers[worker] != nil })
	return in
}

// TestDepartureFreesNoTask guards against a task of a departed worker that may start elsewhere before its run is known to have ended, and a worker that stays in the state afterwards, also after a replica has restarted.
func TestDepartureFreesNoTask(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 3, Size: taskSize})
	assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 1))
	assert.Assert(t, start(s, taskName("a", 0, 1), 1, "w", 1))
	depart(s, "w", 7)
	assert.Assert(t, start(s, taskName("a", 0, 2), 1, "w", 1), "the departure of another incarnation counts")
	depart(s, "w", 1)
	restarted := workflow.New(workflow.Options{})
	assert.NilError(t, restarted.Restore(s.Snapshot()))
	for _, s := range []*workflow.Table{s, restarted} {
		s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 1)}})
		s.View(func(v *workflow.Tables) {
			assert.Assert(t, v.Workers["w"].GetDeparted(), "a late announcement revives the worker")
			assert.Assert(t, v.Recorded(calledWorker("w", 1)))
			assert.Equal(t, len(v.Workers["w"].Tasks), 3)
		})
		submit(s, "b", &wire.Step{Count: 1, Size: taskSize})
		assert.Assert(t, !start(s, taskName("b", 0, 0), 1, "w", 1), "a departed worker gets a new run")
		assert.Assert(t, !start(s, taskName("a", 0, 0), 2, "v", 1), "a task was freed without evidence")
		recordNextEnd(s, taskName("a", 0, 0), 1, "w", 1, done)
		recordNextEnd(s, taskName("a", 0, 1), 1, "w", 1, lapsed)
		assert.Assert(t, inState(s, "w"))
		recordNextEnd(s, taskName("a", 0, 2), 1, "w", 1, done)
		assert.Assert(t, !inState(s, "w"), "the worker stays without tasks")
		s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 1)}})
		assert.Assert(t, !inState(s, "w"), "a late announcement revives the worker")
		assert.Assert(t, start(s, taskName("a", 0, 1), 2, "v", 1))
	}
}

// TestDepartedWorkerWithoutTasksIsRemovedAtOnce guards against a worker that never leaves the state since no task of it is released any more.
func TestDepartedWorkerWithoutTasksIsRemovedAtOnce(t *testing.T) {
	s := newTable()
	depart(s, "w", 1)
	assert.Assert(t, !inState(s, "w"))
	snapshot := newTable().Snapshot()
	for _, w := range snapshot.GetWorkers() {
		w.Worker.Departed = true
	}
	assert.NilError(t, s.Restore(snapshot))
	assert.Assert(t, !inState(s, "v"))
}

// TestLaterIncarnationInheritsFromADepartedWorker guards against tasks that are freed, or a worker that gets no new ones, because an earlier incarnation departed.
func TestLaterIncarnationInheritsFromADepartedWorker(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 2, Size: taskSize})
	assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 1))
	depart(s, "w", 1)
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 5)}})
	s.View(func(v *workflow.Tables) {
		assert.Equal(t, len(v.Workers["w"].Tasks), 1)
		assert.Assert(t, v.Task(workflow.NameOf(taskName("a", 0, 0))).Inherited())
	})
	assert.Assert(t, start(s, taskName("a", 0, 1), 1, "w", 5))
	recordEnd(s, taskName("a", 0, 0), 1, "w", 5, 0, lapsed)
	recordEnd(s, taskName("a", 0, 1), 1, "w", 5, 0, lapsed)
	assert.Assert(t, inState(s, "w"), "the departure of an earlier incarnation removed the later one")
}

// TestTaskOfAnOldJobIsReleased guards against capacity that is lost, and a departed worker that stays for ever, because the job of a committed task is forgotten before its run is known to have ended.
func TestTaskOfAnOldJobIsReleased(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 1, Size: taskSize})
	assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 1))
	s.Apply(4, &wire.WorkflowCommand{Cancel: "a"})
	depart(s, "w", 1)
	s.Apply(400_000, &wire.WorkflowCommand{Submit: &wire.Workflow{Id: "b", Queue: "q", Steps: []*wire.Step{{Count: 1}}}})
	recordEnd(s, taskName("a", 0, 0), 1, "w", 1, 0, lapsed)
	assert.Assert(t, !inState(s, "w"))
	s.Apply(400_000, &wire.WorkflowCommand{Submit: &wire.Workflow{Id: "c", Queue: "q", Steps: []*wire.Step{{Count: 1}}}})
	s.View(func(v *workflow.Tables) { assert.Assert(t, v.Jobs["a"] == nil) })
}

// TestRestartsOfAWorkerAreNotForgotten guards against a fencing token that is as low as for an earlier incarnation after the worker was removed, was announced again or a replica has restarted.
func TestRestartsOfAWorkerAreNotForgotten(t *testing.T) {
	s := newTable()
	announce := func(born int64) {
		s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", born)}})
	}
	restore := func() {
		restarted := workflow.New(workflow.Options{})
		assert.NilError(t, restarted.Restore(s.Snapshot()))
		s = restarted
	}
	restarts := func() (count uint64) {
		s.View(func(v *workflow.Tables) { count = v.Workers["w"].GetRestarts() })
		return count
	}
	announce(1)
	assert.Equal(t, restarts(), uint64(0))
	announce(1)
	assert.Equal(t, restarts(), uint64(0))
	announce(2)
	assert.Equal(t, restarts(), uint64(1))
	announce(1)
	announce(2)
	assert.Equal(t, restarts(), uint64(1))
	depart(s, "w", 2)
	restore()
	announce(3)
	assert.Equal(t, restarts(), uint64(2))
	restore()
	announce(3)
	assert.Equal(t, restarts(), uint64(2))
}

// TestFailureToldAgainAfterItsWorkerWasRemovedCountsOnce guards against a failed run that counts as two attempts, since its end is told again once its worker has been removed, has come back, or its replica has restarted.
func TestFailureToldAgainAfterItsWorkerWasRemovedCountsOnce(t *testing.T) {
	restart := func(s *workflow.Table) *workflow.Table {
		restarted := workflow.New(workflow.Options{})
		assert.NilError(t, restarted.Restore(s.Snapshot()))
		return restarted
	}
	for name, between := range map[string]func(*workflow.Table) *workflow.Table{
		"at once":           func(s *workflow.Table) *workflow.Table { return s },
		"replica restarted": restart,
		"worker forgotten": func(s *workflow.Table) *workflow.Table {
			forgotten := s.Snapshot()
			forgotten.Workers = slices.DeleteFunc(forgotten.Workers, func(w *wire.WorkerEnds) bool { return w.Worker.Id == "w" })
			assert.NilError(t, s.Restore(forgotten))
			s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 1)}})
			return s
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTable()
			submit(s, "a", &wire.Step{Count: 1, Size: taskSize})
			assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 1))
			depart(s, "w", 1)
			recordEnd(s, taskName("a", 0, 0), 1, "w", 1, 1, failed)
			assert.Assert(t, !inState(s, "w"))
			s = between(s)
			recordEnd(s, taskName("a", 0, 0), 1, "w", 1, 1, failed)
			assert.Assert(t, jobState(s, "a") != workflow.StateFailed, "one failed run was counted twice")
			assert.Assert(t, start(s, taskName("a", 0, 0), 2, "v", 1))
			recordEnd(s, taskName("a", 0, 0), 2, "v", 1, 1, failed)
			assert.Equal(t, jobState(s, "a"), workflow.StateFailed)
		})
	}
}

// TestLateFailureCountsOnce guards against a failure that is told after its run was counted as lapsed, and is not counted, or counted each time that it is told, also of a run before one whose failure is known.
func TestLateFailureCountsOnce(t *testing.T) {
	s := newTable()
	s.Apply(1, &wire.WorkflowCommand{Queues: &wire.QueueSet{Version: 4, Queues: []*wire.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3}}}})
	for _, gang := range []bool{false, true} {
		id := fmt.Sprintf("gang-%v", gang)
		submit(s, id, &wire.Step{Count: 1, Size: taskSize, Gang: gang})
		for run := int32(1); run <= 2; run++ {
			assert.Assert(t, start(s, taskName(id, 0, 0), run, "w", 1))
			recordEnd(s, taskName(id, 0, 0), run, "w", 1, 0, lapsed)
		}
		for range 2 {
			for run := int32(2); run >= 1; run-- {
				recordNextEnd(s, taskName(id, 0, 0), run, "w", 1, failed)
			}
			assert.Assert(t, jobState(s, id) != workflow.StateFailed, "a failed run was counted twice")
		}
		assert.Assert(t, start(s, taskName(id, 0, 0), 3, "w", 1))
		recordNextEnd(s, taskName(id, 0, 0), 3, "w", 1, failed)
		assert.Equal(t, jobState(s, id), workflow.StateFailed, "a late failure was not counted")
	}
}
