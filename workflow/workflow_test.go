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
	room = &wire.Size{MilliCpu: 4000, MemoryMib: 4000}
	unit = &wire.Size{MilliCpu: 1000, MemoryMib: 1000}
)

func table() *workflow.Table {
	t := workflow.New(workflow.Options{})
	t.Apply(1, &wire.WorkflowCommand{Queues: &wire.QueueSet{Version: 3, Queues: []*wire.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 2}}}})
	t.Apply(1, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{worker("w", 1), worker("v", 1)}})
	return t
}

func worker(id string, born int64) *wire.CalledWorker {
	return &wire.CalledWorker{Id: id, Born: born, Address: id + ":1", Pool: "p", Domain: "d", Capacity: room}
}

func submit(t *workflow.Table, id string, steps ...*wire.Step) *workflow.Result {
	return t.Apply(2, &wire.WorkflowCommand{Submit: &wire.Workflow{Id: id, Queue: "q", Steps: steps}})
}

func name(id string, step, index int32) *wire.TaskName {
	return &wire.TaskName{Workflow: id, Step: step, Index: index}
}

func start(t *workflow.Table, task *wire.TaskName, run int32, worker string, born int64) bool {
	return t.Apply(3, &wire.WorkflowCommand{Starts: []*wire.RunStart{{Task: task, Run: run, Worker: worker, Born: born}}}).Starts[0]
}

// end notes the next end that a worker lists.
func end(t *workflow.Table, task *wire.TaskName, run int32, worker string, outcome wire.RunOutcome) {
	number := int64(1)
	t.View(func(s *workflow.Tables) {
		if w := s.Workers[worker]; w != nil {
			number = w.Noted + 1
		}
	})
	endNumbered(t, task, run, worker, number, outcome)
}

func endNumbered(t *workflow.Table, task *wire.TaskName, run int32, worker string, number int64, outcome wire.RunOutcome) {
	t.Apply(4, &wire.WorkflowCommand{Ends: []*wire.RunEnd{{Task: task, Run: run, Worker: worker, Born: 1, Number: number, Outcome: outcome}}})
}

func state(t *workflow.Table, id string) (state string) {
	t.View(func(s *workflow.Tables) { state = s.Jobs[id].State() })
	return state
}

const (
	done    = wire.RunOutcome_RUN_OUTCOME_DONE
	failed  = wire.RunOutcome_RUN_OUTCOME_FAILED
	lapsed  = wire.RunOutcome_RUN_OUTCOME_LAPSED
	stopped = wire.RunOutcome_RUN_OUTCOME_STOPPED
)

func TestResentSubmissionIsTheSameWorkflow(t *testing.T) {
	s := table()
	submit(s, "a", &wire.Step{Count: 1, Size: unit})
	assert.Assert(t, start(s, name("a", 0, 0), 1, "w", 1))
	assert.Equal(t, submit(s, "a", &wire.Step{Count: 5, Size: unit}).Answer, wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
	end(s, name("a", 0, 0), 1, "w", done)
	assert.Equal(t, state(s, "a"), workflow.StateCompleted)
}

func TestRefusedSubmissions(t *testing.T) {
	s := table()
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
	s := table()
	submit(s, "a", &wire.Step{Count: 6, Size: unit}, &wire.Step{Count: 1, Size: unit, After: []int32{0}})
	assert.Assert(t, !start(s, name("a", 1, 0), 1, "w", 1), "before the step that it waits for")
	assert.Assert(t, !start(s, name("a", 0, 0), 1, "w", 2), "on another life of the worker")
	assert.Assert(t, start(s, name("a", 0, 0), 1, "w", 1))
	assert.Assert(t, !start(s, name("a", 0, 0), 2, "v", 1), "while it runs")
	for i := int32(1); i < 4; i++ {
		assert.Assert(t, start(s, name("a", 0, i), 1, "w", 1))
	}
	assert.Assert(t, !start(s, name("a", 0, 4), 1, "w", 1), "beyond the worker's room")
	s.Apply(5, &wire.WorkflowCommand{Domain: &wire.DomainOut{Domain: "d", Out: true}})
	assert.Assert(t, !start(s, name("a", 0, 4), 1, "v", 1), "in a failure domain that is out")
	s.Apply(5, &wire.WorkflowCommand{Domain: &wire.DomainOut{Domain: "d"}, Cancel: "a"})
	assert.Assert(t, !start(s, name("a", 0, 4), 1, "v", 1), "of a cancelled workflow")
}

func TestAttemptsAreCounted(t *testing.T) {
	s := table()
	submit(s, "a", &wire.Step{Count: 1, Size: unit})
	for run, outcome := range []wire.RunOutcome{lapsed, stopped, failed, failed} {
		assert.Assert(t, start(s, name("a", 0, 0), int32(run+1), "w", 1))
		assert.Equal(t, state(s, "a"), workflow.StateRunning)
		end(s, name("a", 0, 0), int32(run+1), "w", outcome)
	}
	assert.Equal(t, state(s, "a"), workflow.StateFailed)
}

// TestEndThatIsListedAgainCountsOnce: a worker that was silent lists all that was not taken note of there.
func TestEndThatIsListedAgainCountsOnce(t *testing.T) {
	s := table()
	submit(s, "a", &wire.Step{Count: 1, Size: unit})
	assert.Assert(t, start(s, name("a", 0, 0), 1, "w", 1))
	for range 3 {
		endNumbered(s, name("a", 0, 0), 1, "w", 1, failed)
	}
	assert.Equal(t, state(s, "a"), workflow.StateRunning)
	s.View(func(v *workflow.Tables) { assert.Equal(t, v.Jobs["a"].Steps[0].Tasks[0].Failures, int32(1)) })
}

// TestLateEndCountsForWhatItAchieved: a run that was taken for lapsed turns out to be done.
func TestLateEndCountsForWhatItAchieved(t *testing.T) {
	s := table()
	submit(s, "a", &wire.Step{Count: 1, Size: unit})
	assert.Assert(t, start(s, name("a", 0, 0), 1, "w", 1))
	end(s, name("a", 0, 0), 1, "w", lapsed)
	end(s, name("a", 0, 0), 1, "w", done)
	assert.Equal(t, state(s, "a"), workflow.StateCompleted)
}

func TestEarlierLifeRevivesNothing(t *testing.T) {
	s := table()
	submit(s, "a", &wire.Step{Count: 1, Size: unit})
	assert.Assert(t, start(s, name("a", 0, 0), 1, "w", 1))
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{worker("w", 5)}})
	s.View(func(v *workflow.Tables) {
		assert.Equal(t, v.Workers["w"].GetBorn(), int64(5))
		assert.Equal(t, len(v.Workers["w"].Tasks), 0, "what ran in the earlier life has ended")
	})
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{worker("w", 1)}})
	s.View(func(v *workflow.Tables) { assert.Equal(t, v.Workers["w"].GetBorn(), int64(5)) })
	gone := worker("w", 5)
	gone.Gone = true
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{gone}})
	s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{worker("w", 5)}})
	s.View(func(v *workflow.Tables) { assert.Assert(t, v.Workers["w"] == nil) })
}

func TestGangEndsTogether(t *testing.T) {
	s := table()
	submit(s, "a", &wire.Step{Count: 3, Size: unit, Gang: true}, &wire.Step{Count: 1, Size: unit, After: []int32{0}})
	for i := range int32(3) {
		assert.Assert(t, start(s, name("a", 0, i), 1, "w", 1))
	}
	end(s, name("a", 0, 1), 1, "w", done)
	s.View(func(v *workflow.Tables) { assert.Equal(t, len(v.Workers["w"].Tasks), 0) })
	assert.Assert(t, start(s, name("a", 1, 0), 1, "w", 1))
}

func TestHighestConfigurationWins(t *testing.T) {
	s := table()
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

// TestRoomIsNeverOvercommitted runs random histories: what is committed on a worker stays within its room, no task runs twice,
// what waits is what may start, and a snapshot gives the same state.
func TestRoomIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := table()
		jobs := 0
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				jobs++
				submit(s, fmt.Sprint(jobs), &wire.Step{Count: 3, Size: unit, Filling: rapid.Bool().Draw(t, "filling")}, &wire.Step{Count: 2, Size: unit, After: []int32{0}, Lasting: rapid.Bool().Draw(t, "lasting")})
			},
			"start": func(t *rapid.T) {
				start(s, drawTask(t, jobs), rapid.Int32Range(1, 4).Draw(t, "run"), rapid.SampledFrom([]string{"w", "v"}).Draw(t, "worker"), 1)
			},
			"end": func(t *rapid.T) {
				outcome := rapid.SampledFrom([]wire.RunOutcome{done, failed, lapsed, stopped}).Draw(t, "outcome")
				end(s, drawTask(t, jobs), rapid.Int32Range(1, 4).Draw(t, "run"), rapid.SampledFrom([]string{"w", "v"}).Draw(t, "worker"), outcome)
			},
			"cancel": func(t *rapid.T) {
				s.Apply(6, &wire.WorkflowCommand{Cancel: fmt.Sprint(rapid.IntRange(1, 20).Draw(t, "job"))})
			},
			"": func(t *rapid.T) { check(t, s) },
		})
	})
}

func drawTask(t *rapid.T, jobs int) *wire.TaskName {
	return name(fmt.Sprint(rapid.IntRange(1, max(1, jobs)).Draw(t, "job")), rapid.Int32Range(0, 1).Draw(t, "step"), rapid.Int32Range(0, 2).Draw(t, "index"))
}

func check(t *rapid.T, s *workflow.Table) {
	s.View(func(v *workflow.Tables) {
		for _, w := range v.Workers {
			if w.Used.MilliCPU > room.GetMilliCpu() || w.Used.MemoryMiB+w.Fill.MemoryMiB > room.GetMemoryMib() {
				t.Fatalf("worker %s is committed beyond its room: %v and %v filling", w.GetId(), w.Used, w.Fill)
			}
		}
		for _, j := range v.Jobs {
			for _, step := range j.Steps {
				checkStep(t, v, step)
			}
		}
	})
	fresh := workflow.New(workflow.Options{})
	if err := fresh.Restore(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(fresh.Snapshot(), s.Snapshot()) {
		t.Fatal("the restored state differs")
	}
}

func checkStep(t *rapid.T, v *workflow.Tables, step *workflow.Step) {
	waiting := 0
	for _, task := range step.Tasks {
		if task.Waits() {
			waiting++
		}
		if task.Worker != nil {
			if _, held := task.Worker.Tasks[task]; !held {
				t.Fatalf("%s is committed to a worker that does not hold it", task.Name())
			}
		}
	}
	if _, listed := v.Waiting[step]; listed != (waiting > 0) || waiting != step.Waiting {
		t.Fatalf("%d tasks of a step wait, counted are %d, listed %v", waiting, step.Waiting, listed)
	}
}
