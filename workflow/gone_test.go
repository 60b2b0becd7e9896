package workflow_test

import (
	"fmt"
	"os"
	"testing"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// replace records that a worker has ended, since another answers at its address.
func replace(t *workflow.Table, worker string, born int64) {
	t.Apply(4, &wire.WorkflowCommand{ForgetOldest: true, Workers: []*wire.CalledWorker{{Id: worker, Born: born, Gone: true}}})
}

func announce(t *workflow.Table, worker string, born int64) {
	t.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker(worker, born)}})
}

// restartsOf returns the restarts of a worker, and false if it is not in the state.
func restartsOf(t *workflow.Table, worker string) (restarts uint64, in bool) {
	t.View(func(v *workflow.Tables) {
		if w := v.Workers[worker]; w != nil {
			restarts, in = w.GetRestarts(), true
		}
	})
	return restarts, in
}

// TestIncarnationsThatWereCalledAreCounted guards against an incarnation with the fencing token of one that was called before it, however that one ended and in whatever order the two were announced.
func TestIncarnationsThatWereCalledAreCounted(t *testing.T) {
	for _, c := range []struct {
		name     string
		history  func(s *workflow.Table)
		born     int64 // of the incarnation that is then in the state
		restarts uint64
	}{
		{"first", func(*workflow.Table) {}, 5, 0},
		{"crashed", func(s *workflow.Table) { announce(s, "w", 9) }, 9, 1},
		{"at another address", func(s *workflow.Table) {
			moved := calledWorker("w", 9)
			moved.Address = "elsewhere:1"
			s.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{moved}})
		}, 9, 1},
		{"removed without tasks", func(s *workflow.Table) { depart(s, "w", 5); announce(s, "w", 9) }, 9, 1},
		{"removed with its last task", func(s *workflow.Table) {
			assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 5))
			depart(s, "w", 5)
			recordNextEnd(s, taskName("a", 0, 0), 1, "w", 5, done)
			announce(s, "w", 9)
		}, 9, 1},
		{"departed with a task", func(s *workflow.Table) {
			assert.Assert(t, start(s, taskName("a", 0, 0), 1, "w", 5))
			depart(s, "w", 5)
			announce(s, "w", 9)
		}, 9, 1},
		{"replaced", func(s *workflow.Table) { replace(s, "w", 5); announce(s, "w", 9) }, 9, 1},
		{"ended twice", func(s *workflow.Table) {
			replace(s, "w", 5)
			announce(s, "w", 9)
			depart(s, "w", 9)
			announce(s, "w", 12)
		}, 12, 2},
		{"announced late", func(s *workflow.Table) { announce(s, "w", 9); announce(s, "w", 5) }, 9, 1},
		{"announced late after the end", func(s *workflow.Table) { replace(s, "w", 5); announce(s, "w", 5); announce(s, "w", 9) }, 9, 1},
		{"never announced before", func(s *workflow.Table) { announce(s, "w", 3) }, 5, 0},
		{"born at the same time", func(s *workflow.Table) { announce(s, "w", 5) }, 5, 0},
	} {
		for _, restarts := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, replica restarts %v", c.name, restarts), func(t *testing.T) {
				s := workflow.New(workflow.Options{})
				s.Apply(1, &wire.WorkflowCommand{Queues: &wire.QueueSet{Version: 3, Queues: []*wire.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 2}}}})
				submit(s, "a", &wire.Step{Count: 1, Size: taskSize})
				announce(s, "w", 5)
				if restarts {
					s = restarted(t, s)
				}
				c.history(s)
				if restarts {
					s = restarted(t, s)
				}
				announce(s, "w", c.born)
				s.View(func(v *workflow.Tables) {
					assert.Equal(t, v.Workers["w"].GetBorn(), c.born)
					assert.Equal(t, v.Workers["w"].GetRestarts(), c.restarts)
				})
			})
		}
	}
}

// goneAtOnce is how many ended workers the state remembers.
const goneAtOnce = 20_000

// replaceOthers records the end of workers that were never announced.
func replaceOthers(t *workflow.Table, name string, count int) {
	for i := range count {
		replace(t, fmt.Sprintf("%s-%d", name, i), 1)
	}
}

// replaceByEarlierBuild records the same in records of the build that numbered no ends.
func replaceByEarlierBuild(t *workflow.Table, name string, count int) {
	for i := range count {
		t.Apply(4, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{{Id: fmt.Sprintf("%s-%d", name, i), Born: 2, Gone: true}}})
	}
}

// TestWorkerThatEndedLatelyIsNotForgottenAtTheLimit guards against a worker that comes back under its id with the fencing token of its former incarnation, or an ended one that is revived by a late announcement, because many others have ended.
func TestWorkerThatEndedLatelyIsNotForgottenAtTheLimit(t *testing.T) {
	for _, after := range []int{1, goneAtOnce / 2, goneAtOnce/2 - 1} {
		for _, restarts := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d ended after it, replica restarts %v", after, restarts), func(t *testing.T) {
				s := newTable()
				replaceOthers(s, "before", goneAtOnce-1)
				announce(s, "w", 2)
				replace(s, "w", 2)
				if restarts {
					s = restarted(t, s)
				}
				replaceOthers(s, "after", after)
				announce(s, "w", 2)
				assert.Assert(t, !inState(s, "w"), "a late announcement revived an ended incarnation")
				announce(s, "w", 3)
				count, _ := restartsOf(s, "w")
				assert.Equal(t, count, uint64(2))
			})
		}
	}
}

// logOfWorkers returns records of an earlier build in which workers come back, depart and are replaced.
func logOfWorkers() []*wire.WorkflowCommand {
	workers := func(w ...*wire.CalledWorker) *wire.WorkflowCommand { return &wire.WorkflowCommand{Workers: w} }
	return []*wire.WorkflowCommand{
		{ByPlace: true, Queues: &wire.QueueSet{Version: 1, Queues: []*wire.Queue{queueAt("/a/", "x", "p")}}},
		{ByPlace: true, Submit: &wire.Workflow{Id: "job", Queue: "x", Host: "h", PathPrefix: "/a/", Steps: []*wire.Step{{Count: 3, Size: taskSize}}}},
		workers(calledWorker("crashed", 1), calledWorker("departed", 1), calledWorker("replaced", 1), calledWorker("leaving", 1)),
		{Starts: []*wire.RunStart{{Task: taskName("job", 0, 0), Run: 1, Worker: "crashed", Born: 1}, {Task: taskName("job", 0, 1), Run: 1, Worker: "leaving", Born: 1}}},
		workers(calledWorker("crashed", 2)),
		workers(&wire.CalledWorker{Id: "departed", Born: 1, Departed: true}, &wire.CalledWorker{Id: "leaving", Born: 1, Departed: true}),
		workers(&wire.CalledWorker{Id: "replaced", Born: 1, Gone: true}),
		workers(calledWorker("departed", 1), calledWorker("replaced", 3)),
		workers(&wire.CalledWorker{Id: "replaced", Born: 3, Gone: true}),
		{Ends: []*wire.RunEnd{{Task: taskName("job", 0, 1), Run: 1, Worker: "leaving", Born: 1, Number: 1, Outcome: done}}},
	}
}

// TestWorkersOfAnEarlierBuildAreThoseOfItsState replays a log of the build that numbered no ends of workers, and compares with the snapshot of that build, so that replicas which replay the log and replicas which restore the snapshot have the same state, also after records of this build.
func TestWorkersOfAnEarlierBuildAreThoseOfItsState(t *testing.T) {
	document, err := os.ReadFile("testdata/earlier_workers.json")
	assert.NilError(t, err)
	expected := &wire.WorkflowState{}
	assert.NilError(t, protojson.Unmarshal(document, expected))
	replayed, restored := workflow.New(workflow.Options{}), workflow.New(workflow.Options{})
	for _, c := range logOfWorkers() {
		replayed.Apply(1, c)
	}
	assert.Assert(t, proto.Equal(replayed.Snapshot(), expected), "%v", replayed.Snapshot())
	assert.NilError(t, restored.Restore(expected))
	for _, s := range []*workflow.Table{replayed, restored} {
		announce(s, "departed", 2)
		announce(s, "leaving", 1)
		replace(s, "crashed", 2)
		announce(s, "replaced", 4)
		count, _ := restartsOf(s, "replaced")
		assert.Equal(t, count, uint64(2))
	}
	assert.Assert(t, proto.Equal(replayed.Snapshot(), restored.Snapshot()))
}

// TestReplicasForgetTheSameWorkers guards against replicas that remember different ended workers, or number them differently, as one has replayed the log, also of an earlier build, and another has restored a snapshot.
func TestReplicasForgetTheSameWorkers(t *testing.T) {
	replayed, restored := newTable(), newTable()
	for i, part := range []struct {
		end        func(*workflow.Table, string, int)
		name       string
		count      int
		remembered int
	}{
		{replaceByEarlierBuild, "a", goneAtOnce - 100, goneAtOnce - 100},
		{replaceOthers, "b", 101, goneAtOnce/2 + 1},
		{replaceByEarlierBuild, "b", 101, goneAtOnce/2 + 1},
		{replaceOthers, "c", goneAtOnce / 2, goneAtOnce/2 + 1},
		{replaceByEarlierBuild, "c", 1, goneAtOnce/2 + 1},
		{replaceByEarlierBuild, "d", goneAtOnce / 2, 1},
		{replaceOthers, "e", 3, 4},
	} {
		restored = restarted(t, restored)
		for _, s := range []*workflow.Table{replayed, restored} {
			part.end(s, part.name, part.count)
		}
		snapshot := replayed.Snapshot()
		assert.Assert(t, proto.Equal(snapshot, restored.Snapshot()), "after part %d", i)
		assert.Equal(t, len(snapshot.Workers)-2, part.remembered, "after part %d", i) // without the two at work
	}
}
