package workflow_test

import (
	"fmt"
	"testing"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	workerCapacity = &wire.Size{MilliCpu: 4000, MemoryMib: 4000}
	taskSize       = &wire.Size{MilliCpu: 1000, MemoryMib: 1000}
)

func newTable() *workflow.Table {
	t := workflow.New(workflow.Options{})
	t.Apply(1, &wire.WorkflowCommand{Queues: &wire.QueueSet{Version: 3, Queues: []*wire.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 2}}}})
	t.Apply(1, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 1), calledWorker("v", 1)}})
	return t
}

func calledWorker(id string, born int64) *wire.CalledWorker {
	return &wire.CalledWorker{Id: id, Born: born, Address: id + ":1", Pool: "p", Domain: "d", Capacity: workerCapacity}
}

func submit(t *workflow.Table, id string, steps ...*wire.Step) *workflow.Result {
	return t.Apply(2, &wire.WorkflowCommand{ByPlace: true, Submit: &wire.Workflow{Id: id, Queue: "q", Host: "h", PathPrefix: "/q/", Steps: steps}})
}

func taskName(id string, step, index int32) *wire.TaskName {
	return &wire.TaskName{Workflow: id, Step: step, Index: index}
}

func start(t *workflow.Table, task *wire.TaskName, run int32, worker string, born int64) bool {
	return t.Apply(3, &wire.WorkflowCommand{Starts: []*wire.RunStart{{Task: task, Run: run, Worker: worker, Born: born}}}).Starts[0]
}

// recordNextEnd records a run's end with the worker's next number.
func recordNextEnd(t *workflow.Table, task *wire.TaskName, run int32, worker string, born int64, outcome wire.RunOutcome) {
	number := int64(1)
	t.View(func(s *workflow.Tables) {
		if w := s.Workers[worker]; w != nil {
			number = w.Noted + 1
		}
	})
	recordEnd(t, task, run, worker, born, number, outcome)
}

func recordEnd(t *workflow.Table, task *wire.TaskName, run int32, worker string, born, number int64, outcome wire.RunOutcome) {
	t.Apply(4, &wire.WorkflowCommand{Ends: []*wire.RunEnd{{Task: task, Run: run, Worker: worker, Born: born, Number: number, Outcome: outcome}}})
}

func markBegun(t *workflow.Table, id string) {
	t.Apply(4, &wire.WorkflowCommand{Begun: []string{id}})
}

func jobState(t *workflow.Table, id string) (jobState string) {
	t.View(func(s *workflow.Tables) { jobState = s.Jobs[id].State() })
	return jobState
}

const (
	done    = wire.RunOutcome_RUN_OUTCOME_DONE
	failed  = wire.RunOutcome_RUN_OUTCOME_FAILED
	lapsed  = wire.RunOutcome_RUN_OUTCOME_LAPSED
	stopped = wire.RunOutcome_RUN_OUTCOME_STOPPED
)

func TestResentSubmissionIsTheSameWorkflow(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 1, Size: taskSize})
	assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 1))
	assert.Equal(t, submit(s, "a", &wire.Step{Count: 5, Size: taskSize}).Answer, wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
	recordNextEnd(s, taskName("a", 0, 0), 1, "w", 1, done)
	assert.Equal(t, jobState(s, "a"), workflow.StateCompleted)
}

func TestRefusedSubmissions(t *testing.T) {
	s := newTable()
	for reason, w := range map[string]*wire.Workflow{
		"no queue":   {Id: "a", Queue: "other", Steps: []*wire.Step{{Count: 1}}},
		"no steps":   {Id: "a", Queue: "q"},
		"cycle":      {Id: "a", Queue: "q", Steps: []*wire.Step{{Count: 1, After: []int32{0}}}},
		"later step": {Id: "a", Queue: "q", Steps: []*wire.Step{{Count: 1, After: []int32{1}}, {Count: 1}}},
		"no tasks":   {Id: "a", Queue: "q", Steps: []*wire.Step{{}}},
		"too many":   {Id: "a", Queue: "q", Occurrences: 1 << 30, Steps: []*wire.Step{{Count: 100}}},
		"negative":   {Id: "a", Queue: "q", Steps: []*wire.Step{{Count: 1, Size: &wire.Size{MilliCpu: -1}}}},
	} {
		t.Run(reason, func(t *testing.T) {
			result := s.Apply(2, &wire.WorkflowCommand{Submit: w})
			assert.Assert(t, result.Answer != wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
			s.View(func(v *workflow.Tables) { assert.Equal(t, len(v.Jobs), 0) })
		})
	}
}

func TestStartsThatAreRefused(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 6, Size: taskSize}, &wire.Step{Count: 1, Size: taskSize, After: []int32{0}})
	assert.Assert(t, !start(s, taskName("a", 1, 0), 1, "w", 1), "started before its preceding step was done")
	assert.Assert(t, !start(s, taskName("a", 0, 0), 1, "w", 2), "started on another incarnation of the worker")
	assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 1))
	assert.Assert(t, !start(s, taskName("a", 0, 0), 2, "v", 1), "started while it runs")
	for i := int32(1); i < 4; i++ {
		assert.Assert(t, start(s, taskName("a", 0, i), 1, "w", 1))
	}
	assert.Assert(t, !start(s, taskName("a", 0, 4), 1, "w", 1), "started beyond the worker's capacity")
	s.Apply(5, &wire.WorkflowCommand{Domain: &wire.DomainOut{Domain: "d", Out: true}})
	assert.Assert(t, !start(s, taskName("a", 0, 4), 1, "v", 1), "started in a failure domain that is out")
	s.Apply(5, &wire.WorkflowCommand{Domain: &wire.DomainOut{Domain: "d"}, Cancel: "a"})
	assert.Assert(t, !start(s, taskName("a", 0, 4), 1, "v", 1), "started for a cancelled workflow")
}

func TestAttemptsAreCounted(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 1, Size: taskSize})
	for run, outcome := range []wire.RunOutcome{lapsed, stopped, failed, failed} {
		assert.Assert(t, start(s, taskName("a", 0, 0), int32(run+1), "w", 1))
		markBegun(s, "a")
		assert.Equal(t, jobState(s, "a"), workflow.StateRunning)
		recordNextEnd(s, taskName("a", 0, 0), int32(run+1), "w", 1, outcome)
	}
	assert.Equal(t, jobState(s, "a"), workflow.StateFailed)
}

// TestWorkflowBeginsOnceItsStartIsKnownToBeAccepted guards against counting a workflow as begun whose start was only committed, or forgetting that it has begun, also after a replica has restarted.
func TestWorkflowBeginsOnceItsStartIsKnownToBeAccepted(t *testing.T) {
	check := func(s *workflow.Table, state string, waiting int64) {
		t.Helper()
		restarted := workflow.New(workflow.Options{})
		assert.NilError(t, restarted.Restore(s.Snapshot()))
		for _, s := range []*workflow.Table{s, restarted} {
			assert.Equal(t, jobState(s, "a"), state)
			s.View(func(v *workflow.Tables) {
				assert.Equal(t, v.WaitingJobs(&wire.Queue{Host: "h", PathPrefix: "/q/"}), waiting)
			})
		}
	}
	for name, begin := range map[string]func(s *workflow.Table){
		"a worker accepted its start": func(s *workflow.Table) { markBegun(s, "a") },
		"a run that had begun ended":  func(s *workflow.Table) { recordEnd(s, taskName("a", 0, 0), 3, "w", 1, 0, lapsed) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTable()
			submit(s, "a", &wire.Step{Count: 1, Size: taskSize})
			for run := int32(1); run < 3; run++ {
				assert.Assert(t, start(s, taskName("a", 0, 0), run, "w", 1))
				check(s, workflow.StateQueued, 1)
				recordEnd(s, taskName("a", 0, 0), run, "w", 1, 0, wire.RunOutcome_RUN_OUTCOME_NOT_RUN)
				check(s, workflow.StateQueued, 1)
			}
			assert.Assert(t, start(s, taskName("a", 0, 0), 3, "w", 1))
			begin(s)
			check(s, workflow.StateRunning, 0)
			recordEnd(s, taskName("a", 0, 0), 3, "w", 1, 0, wire.RunOutcome_RUN_OUTCOME_NOT_RUN)
			check(s, workflow.StateRunning, 0)
		})
	}
}

// TestEndThatIsListedAgainCountsOnce guards against counting a failure twice: a worker that reconnects lists again all ends that were not acknowledged.
func TestEndThatIsListedAgainCountsOnce(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 1, Size: taskSize})
	assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 1))
	for range 3 {
		recordEnd(s, taskName("a", 0, 0), 1, "w", 1, 1, failed)
	}
	assert.Equal(t, jobState(s, "a"), workflow.StateRunning)
	s.View(func(v *workflow.Tables) { assert.Equal(t, v.Jobs["a"].Steps[0].Tasks[0].Failures, int32(1)) })
}

// TestLateEndCountsForWhatItAchieved guards against losing the result of a run that was assumed lapsed and turns out to be done.
func TestLateEndCountsForWhatItAchieved(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 1, Size: taskSize})
	assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 1))
	recordNextEnd(s, taskName("a", 0, 0), 1, "w", 1, lapsed)
	recordNextEnd(s, taskName("a", 0, 0), 1, "w", 1, done)
	assert.Equal(t, jobState(s, "a"), workflow.StateCompleted)
}

func TestEarlierLifeRevivesNothing(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 1, Size: taskSize})
	assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 1))
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 5)}})
	s.View(func(v *workflow.Tables) {
		assert.Equal(t, v.Workers["w"].GetBorn(), int64(5))
		assert.Equal(t, len(v.Workers["w"].Tasks), 1, "the later incarnation may run what was meant for the earlier one")
	})
	recordEnd(s, taskName("a", 0, 0), 1, "w", 1, 0, lapsed)
	assert.Assert(t, !start(s, taskName("a", 0, 0), 2, "v", 1), "released by an end of the earlier incarnation")
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 1)}})
	s.View(func(v *workflow.Tables) { assert.Equal(t, v.Workers["w"].GetBorn(), int64(5)) })
	gone := calledWorker("w", 5)
	gone.Gone = true
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{gone}})
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 5)}})
	s.View(func(v *workflow.Tables) { assert.Assert(t, v.Workers["w"] == nil) })
	assert.Assert(t, start(s, taskName("a", 0, 0), 2, "v", 1), "not released once the later incarnation has ended")
}

// TestInheritedRunEndsWithTheLaterIncarnation guards against a second run of a task, beside the one that the later incarnation of its worker may execute, also after a replica has restarted.
func TestInheritedRunEndsWithTheLaterIncarnation(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 1, Size: taskSize})
	assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 1))
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 5)}})
	restarted := workflow.New(workflow.Options{})
	assert.NilError(t, restarted.Restore(s.Snapshot()))
	for _, s := range []*workflow.Table{s, restarted} {
		s.View(func(v *workflow.Tables) {
			assert.Assert(t, v.Task(workflow.NameOf(taskName("a", 0, 0))).Inherited())
			assert.Equal(t, v.Workers["w"].Used.MilliCPU, taskSize.GetMilliCpu())
		})
		s.Apply(5, &wire.WorkflowCommand{Ends: []*wire.RunEnd{{Task: taskName("a", 0, 0), Run: 1, Worker: "w", Born: 5, Outcome: lapsed}}})
		assert.Assert(t, start(s, taskName("a", 0, 0), 2, "v", 1))
	}
}

func TestGangEndsTogether(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 3, Size: taskSize, Gang: true}, &wire.Step{Count: 1, Size: taskSize, After: []int32{0}})
	for i := range int32(3) {
		assert.Assert(t, start(s, taskName("a", 0, i), 1, "w", 1))
	}
	recordNextEnd(s, taskName("a", 0, 1), 1, "w", 1, done)
	s.View(func(v *workflow.Tables) { assert.Equal(t, len(v.Workers["w"].Tasks), 0) })
	assert.Assert(t, start(s, taskName("a", 1, 0), 1, "w", 1))
}

// TestGangFailsOncePerRun guards against a gang that counts as failed before its attempts are used up, since the end of each member counts as one, also after a replica has restarted.
func TestGangFailsOncePerRun(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 3, Size: taskSize, Gang: true})
	for run := int32(1); run < 3; run++ {
		for i := range int32(3) {
			assert.Assert(t, start(s, taskName("a", 0, i), run, "w", 1), "run %d, member %d", run, i)
		}
		for i := range int32(3) {
			assert.Equal(t, jobState(s, "a") == workflow.StateFailed, run == 2 && i > 0, "run %d, %d members failed", run, i)
			recordNextEnd(s, taskName("a", 0, i), run, "w", 1, failed)
			restarted := workflow.New(workflow.Options{})
			assert.NilError(t, restarted.Restore(s.Snapshot()))
			s = restarted
		}
	}
	assert.Equal(t, jobState(s, "a"), workflow.StateFailed)
}

func TestHighestConfigurationWins(t *testing.T) {
	s := newTable()
	s.Apply(5, &wire.WorkflowCommand{Queues: &wire.QueueSet{Version: 2}})
	s.View(func(v *workflow.Tables) {
		queue, rest := v.QueueFor("h", "/q/5c0e")
		assert.Equal(t, queue.GetName(), "q")
		assert.Equal(t, rest, "5c0e")
	})
	s.Apply(5, &wire.WorkflowCommand{Queues: &wire.QueueSet{Version: 4}})
	s.View(func(v *workflow.Tables) {
		queue, _ := v.QueueFor("h", "/q/5c0e")
		assert.Assert(t, queue == nil)
	})
}

// TestRoomIsNeverOvercommitted applies random histories and checks that commitments stay within a worker's capacity, no task runs twice,
// the waiting tasks are those that may start, and a snapshot restores the same state.
func TestRoomIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTable()
		jobs, born := 0, map[string]int64{"w": 1, "v": 1}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				jobs++
				submit(s, fmt.Sprint(jobs), &wire.Step{Count: 3, Size: taskSize, Filling: rapid.Bool().Draw(t, "filling")}, &wire.Step{Count: 2, Size: taskSize, After: []int32{0}, Lasting: rapid.Bool().Draw(t, "lasting")})
			},
			"start": func(t *rapid.T) {
				worker := rapid.SampledFrom([]string{"w", "v"}).Draw(t, "worker")
				start(s, drawTask(t, jobs), rapid.Int32Range(1, 4).Draw(t, "run"), worker, born[worker])
			},
			"restart": func(t *rapid.T) {
				worker := rapid.SampledFrom([]string{"w", "v"}).Draw(t, "worker")
				born[worker]++
				s.Apply(7, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker(worker, born[worker])}})
			},
			"end": func(t *rapid.T) {
				outcome := rapid.SampledFrom([]wire.RunOutcome{done, failed, lapsed, stopped}).Draw(t, "outcome")
				worker := rapid.SampledFrom([]string{"w", "v"}).Draw(t, "worker")
				recordNextEnd(s, drawTask(t, jobs), rapid.Int32Range(1, 4).Draw(t, "run"), worker, rapid.Int64Range(1, born[worker]).Draw(t, "born"), outcome)
			},
			"depart": func(t *rapid.T) {
				worker := rapid.SampledFrom([]string{"w", "v"}).Draw(t, "worker")
				depart(s, worker, rapid.Int64Range(1, born[worker]).Draw(t, "born"))
			},
			"cancel": func(t *rapid.T) {
				s.Apply(6, &wire.WorkflowCommand{Cancel: fmt.Sprint(rapid.IntRange(1, 20).Draw(t, "job"))})
			},
			"": func(t *rapid.T) { checkInvariants(t, s) },
		})
	})
}

func drawTask(t *rapid.T, jobs int) *wire.TaskName {
	return taskName(fmt.Sprint(rapid.IntRange(1, max(1, jobs)).Draw(t, "job")), rapid.Int32Range(0, 1).Draw(t, "step"), rapid.Int32Range(0, 2).Draw(t, "index"))
}

func checkInvariants(t *rapid.T, s *workflow.Table) {
	s.View(func(v *workflow.Tables) {
		for _, w := range v.Workers {
			if w.GetDeparted() && len(w.Tasks) == 0 {
				t.Fatalf("worker %s has departed and has no tasks, but was not removed", w.GetId())
			}
			if w.Used.MilliCPU > workerCapacity.GetMilliCpu() || w.Used.MemoryMiB+w.UsedByFilling.MemoryMiB > workerCapacity.GetMemoryMib() {
				t.Fatalf("worker %s is committed beyond its capacity: %v by other tasks, %v by filling tasks", w.GetId(), w.Used, w.UsedByFilling)
			}
		}
		for _, j := range v.Jobs {
			for _, step := range j.Steps {
				checkStep(t, v, step)
			}
		}
	})
	restored := workflow.New(workflow.Options{})
	if err := restored.Restore(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(restored.Snapshot(), s.Snapshot()) {
		t.Fatal("the state differs after restoring a snapshot")
	}
}

func checkStep(t *rapid.T, v *workflow.Tables, step *workflow.Step) {
	waiting := 0
	for _, task := range step.Tasks {
		if task.Startable() {
			waiting++
		}
		if task.Worker != nil {
			if _, held := task.Worker.Tasks[task]; !held {
				t.Fatalf("%s is committed to a worker whose Tasks do not contain it", task.Name())
			}
		}
	}
	if _, listed := v.Waiting[step]; listed != (waiting > 0) || waiting != step.Waiting {
		t.Fatalf("%d tasks of a step may start, but its Waiting count is %d and it is in the Waiting set: %v", waiting, step.Waiting, listed)
	}
}

// TestNothingWithdrawnReturnsAfterARestart checks that what was withdrawn before a snapshot stays so after it was restored, whatever arrives late: a worker that left, its earlier life, an evacuation, a configuration.
func TestNothingWithdrawnReturnsAfterARestart(t *testing.T) {
	s := newTable()
	left := calledWorker("w", 1)
	left.Gone = true
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{left}})
	replaced := calledWorker("v", 7)
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{replaced}})
	draining := calledWorker("u", 1)
	draining.Leaving = true
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("u", 1), draining}})
	s.Apply(5, &wire.WorkflowCommand{Domain: &wire.DomainOut{Domain: "x", Out: true}})
	s.Apply(5, &wire.WorkflowCommand{Domain: &wire.DomainOut{Domain: "x"}})
	s.Apply(6, &wire.WorkflowCommand{Queues: &wire.QueueSet{Version: 9, Queues: []*wire.Queue{{Name: "other", Host: "h", PathPrefix: "/o/", Pool: "p"}}}})

	restarted := workflow.New(workflow.Options{})
	assert.NilError(t, restarted.Restore(s.Snapshot()))
	late := &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 1), calledWorker("v", 1), calledWorker("u", 1)}, Queues: &wire.QueueSet{Version: 3, Queues: []*wire.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p"}}}}
	restarted.Apply(7, late)
	restarted.View(func(v *workflow.Tables) {
		assert.Assert(t, v.Workers["w"] == nil, "a worker that left is in use again")
		assert.Equal(t, v.Workers["v"].GetBorn(), int64(7), "an earlier life is in use again")
		assert.Assert(t, v.Workers["u"].GetLeaving(), "a draining worker gets work again")
		assert.Assert(t, !v.Out["x"], "an evacuation that was withdrawn is in force again")
		queue, _ := v.QueueFor("h", "/q/1")
		assert.Assert(t, queue == nil, "a queue that was removed is in use again")
	})
}

// TestEndsThatMayNotBeAcknowledgedAreKept guards against a later leader, or one whose replica has restarted, that acknowledges the end of a run of which a start may still be executed.
func TestEndsThatMayNotBeAcknowledgedAreKept(t *testing.T) {
	s := newTable()
	submit(s, "a", &wire.Step{Count: 3, Size: taskSize})
	for i := range int32(3) {
		assert.Assert(t, start(s, taskName("a", 0, i), 1, "w", 1))
	}
	s.Apply(4, &wire.WorkflowCommand{LateStarts: []*wire.TaskName{taskName("a", 0, 1), taskName("b", 0, 0)}})
	lateEnds := func() (numbers []int64) {
		s.View(func(v *workflow.Tables) { numbers = v.Workers["w"].LateEnds })
		return numbers
	}
	for i, acknowledged := range []int64{0, 0, 2} {
		restarted := workflow.New(workflow.Options{})
		assert.NilError(t, restarted.Restore(s.Snapshot()))
		s = restarted
		s.Apply(4, &wire.WorkflowCommand{Ends: []*wire.RunEnd{{Task: taskName("a", 0, int32(i)), Run: 1, Worker: "w", Born: 1, Number: int64(i + 1), Outcome: done, Acknowledged: acknowledged}}})
		assert.DeepEqual(t, lateEnds(), [][]int64{nil, {2}, {}}[i])
	}
	assert.Equal(t, jobState(s, "a"), workflow.StateCompleted)
}
