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
	"pgregory.net/rapid"
)

const (
	noQueue    = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_QUEUE
	noWorkflow = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW
)

// queueAt returns a queue at a path prefix of host h.
func queueAt(prefix, name, pool string) *wire.Queue {
	return &wire.Queue{Name: name, Host: "h", PathPrefix: prefix, Pool: pool, MaxAttempts: 2}
}

func putQueues(t *workflow.Table, version uint64, queues ...*wire.Queue) {
	t.Apply(1, &wire.WorkflowCommand{ByPlace: true, Queues: &wire.QueueSet{Version: version, Queues: queues}})
}

// submitAt hands in a workflow of one task at a path prefix where the leader saw a queue of some name.
func submitAt(t *workflow.Table, prefix, name, id string) wire.WorkflowAnswer {
	w := &wire.Workflow{Id: id, Queue: name, Host: "h", PathPrefix: prefix, Steps: []*wire.Step{{Count: 1, Size: taskSize}}}
	return t.Apply(2, &wire.WorkflowCommand{ByPlace: true, Submit: w}).Answer
}

func poolOf(t *workflow.Table, id string) (pool string) {
	t.View(func(s *workflow.Tables) { pool = s.Jobs[id].Queue.GetPool() })
	return pool
}

func waitingAt(t *workflow.Table, prefix string) (count int64) {
	t.View(func(s *workflow.Tables) { count = s.WaitingJobs(queueAt(prefix, "", "")) })
	return count
}

// TestWorkflowKeepsItsPlace guards against a workflow that moves to another queue, and there to other workers and callers, since a configuration gave that queue the name of its own.
func TestWorkflowKeepsItsPlace(t *testing.T) {
	for name, c := range map[string]struct {
		queues []*wire.Queue
		pool   string
	}{
		"its name used at another place":           {[]*wire.Queue{queueAt("/a/", "z", "ours"), queueAt("/b/", "x", "theirs")}, "ours"},
		"names swapped":                            {[]*wire.Queue{queueAt("/a/", "y", "ours"), queueAt("/b/", "x", "theirs")}, "ours"},
		"one name for both":                        {[]*wire.Queue{queueAt("/a/", "x", "ours"), queueAt("/b/", "x", "theirs")}, "ours"},
		"one name for both, in another order":      {[]*wire.Queue{queueAt("/b/", "x", "theirs"), queueAt("/a/", "x", "ours")}, "ours"},
		"dropped, and its name used elsewhere":     {[]*wire.Queue{queueAt("/b/", "x", "theirs")}, "ours"},
		"another pool":                             {[]*wire.Queue{queueAt("/a/", "x", "new"), queueAt("/b/", "y", "theirs")}, "new"},
		"another name and another pool":            {[]*wire.Queue{queueAt("/a/", "z", "new"), queueAt("/b/", "x", "theirs")}, "new"},
		"its name used on another host, same path": {[]*wire.Queue{queueAt("/a/", "z", "ours"), {Name: "x", Host: "other", PathPrefix: "/a/", Pool: "theirs"}}, "ours"},
	} {
		t.Run(name, func(t *testing.T) {
			s := workflow.New(workflow.Options{})
			putQueues(s, 1, queueAt("/a/", "x", "ours"), queueAt("/b/", "y", "theirs"))
			assert.Equal(t, submitAt(s, "/a/", "x", "job"), accepted)
			putQueues(s, 2, c.queues...)
			for _, s := range []*workflow.Table{s, restarted(t, s)} {
				assert.Equal(t, poolOf(s, "job"), c.pool)
				assert.Equal(t, waitingAt(s, "/a/"), int64(1))
				assert.Equal(t, waitingAt(s, "/b/"), int64(0))
				assert.Equal(t, submitAt(s, "/a/", "x", "job"), accepted, "the same submission again")
				assert.Assert(t, submitAt(s, "/b/", "x", "job") != accepted, "another place has its id")
			}
		})
	}
}

// TestWorkflowTakesOverTheDefinitionOfItsPlace guards against a workflow that goes on under a former definition of its queue, since a configuration gave that another name: its tasks go to the new pool, with the new attempts.
func TestWorkflowTakesOverTheDefinitionOfItsPlace(t *testing.T) {
	s := workflow.New(workflow.Options{})
	putQueues(s, 1, queueAt("/a/", "x", "ours"))
	assert.Equal(t, submitAt(s, "/a/", "x", "job"), accepted)
	putQueues(s, 2, queueAt("/b/", "x", "theirs"))
	assert.Equal(t, poolOf(s, "job"), "ours", "while no queue has the place")
	back := queueAt("/a/", "y", "p")
	back.MaxAttempts, back.Priority, back.Stretch = 1, 3, 2.5
	putQueues(s, 3, queueAt("/b/", "x", "theirs"), back)
	s.View(func(v *workflow.Tables) { assert.Assert(t, proto.Equal(v.Jobs["job"].Queue, back)) })
	s.Apply(1, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 1)}})
	assert.Assert(t, start(s, taskName("job", 0, 0), 1, "w", 1))
	recordNextEnd(s, taskName("job", 0, 0), 1, "w", 1, failed)
	assert.Equal(t, jobState(s, "job"), workflow.StateFailed)
	putQueues(s, 4, queueAt("/b/", "x", "theirs"))
	putQueues(s, 5, queueAt("/a/", "z", "p"))
	s.View(func(v *workflow.Tables) {
		assert.Assert(t, v.Jobs["job"].In(queueAt("/a/", "", "")), "an ended workflow is still asked for at its place")
	})
}

// TestSubmissionIsCommittedAtItsPlace guards against accepting a workflow for another queue, or refusing it, since a configuration that is committed between the leader's check and the record uses the name of its queue otherwise.
func TestSubmissionIsCommittedAtItsPlace(t *testing.T) {
	for name, c := range map[string]struct {
		queues []*wire.Queue
		answer wire.WorkflowAnswer
	}{
		"name at another place": {[]*wire.Queue{queueAt("/a/", "y", "ours"), queueAt("/b/", "x", "theirs")}, accepted},
		"name dropped":          {[]*wire.Queue{queueAt("/a/", "y", "ours")}, accepted},
		"name repeated":         {[]*wire.Queue{queueAt("/a/", "x", "ours"), queueAt("/b/", "x", "theirs")}, accepted},
		"place dropped":         {[]*wire.Queue{queueAt("/b/", "x", "theirs")}, noQueue},
	} {
		t.Run(name, func(t *testing.T) {
			s := workflow.New(workflow.Options{})
			putQueues(s, 1, queueAt("/a/", "x", "ours"), queueAt("/b/", "y", "theirs"))
			assert.Equal(t, submitAt(s, "/a/", "x", "earlier"), accepted)
			putQueues(s, 2, c.queues...)
			assert.Equal(t, submitAt(s, "/a/", "x", "job"), c.answer)
			assert.Equal(t, submitAt(s, "/a/", "x", "earlier"), accepted, "it remains accepted, whatever its place is now")
			if c.answer == accepted {
				assert.Equal(t, poolOf(s, "job"), "ours")
			}
		})
	}
}

// TestWorkspaceIsReadThroughTheQueueOfThePlace guards against callers without a key who reach another workspace's workflow, or callers with its key who don't, as a public queue has or had the name of its queue.
func TestWorkspaceIsReadThroughTheQueueOfThePlace(t *testing.T) {
	s := workflow.New(workflow.Options{})
	put := func(version uint64, keyed, public string) {
		open := queueAt("/open/", public, "p")
		open.Public = true
		s.Apply(1, &wire.WorkflowCommand{ByPlace: true, Queues: &wire.QueueSet{Version: version, Keyed: true, Workspaces: []*wire.Workspace{workspace("a", "a1")}, Queues: []*wire.Queue{queueAt("/q/", keyed, "p"), open}}})
	}
	cancel := func(id, key string) wire.WorkflowAnswer {
		return s.Apply(2, &wire.WorkflowCommand{ByPlace: true, Cancel: id, Key: key}).Answer
	}
	put(1, "x", "y")
	for _, id := range []string{"one", "two"} {
		w := &wire.Workflow{Id: id, Queue: "x", Host: "h", PathPrefix: "/q/", Steps: []*wire.Step{{Count: 1, Size: taskSize}}}
		assert.Equal(t, s.Apply(2, &wire.WorkflowCommand{ByPlace: true, Submit: w, Key: "a1"}).Answer, accepted)
	}
	put(2, "y", "x")
	s.View(func(v *workflow.Tables) {
		assert.Assert(t, !v.Jobs["one"].In(queueAt("/open/", "", "")), "it is shown at a place that needs no key")
	})
	assert.Equal(t, cancel("one", ""), unknownKey)
	assert.Equal(t, cancel("one", "a1"), accepted)
	put(3, "y", "y")
	assert.Equal(t, cancel("two", ""), unknownKey)
	assert.Equal(t, cancel("unknown", "a1"), noWorkflow)
}

// TestRecordsOfAnEarlierBuildLeadToItsState replays a log of the build that identified queues by name, and compares with the snapshot of that build, so that replicas which replay the log and replicas which restore the snapshot have the same state.
// After that, a configuration of this build moves no workflow.
func TestRecordsOfAnEarlierBuildLeadToItsState(t *testing.T) {
	log := []*wire.WorkflowCommand{
		{Queues: &wire.QueueSet{Version: 1, Queues: []*wire.Queue{queueAt("/a/", "x", "ours"), queueAt("/b/", "y", "theirs")}}},
		{Submit: &wire.Workflow{Id: "at a", Queue: "x", Steps: []*wire.Step{{Count: 1, Size: taskSize}}}},
		{Submit: &wire.Workflow{Id: "at b", Queue: "y", Steps: []*wire.Step{{Count: 1, Size: taskSize}}}},
		{Queues: &wire.QueueSet{Version: 2, Queues: []*wire.Queue{queueAt("/a/", "z", "new"), queueAt("/b/", "x", "theirs")}}},
		{Submit: &wire.Workflow{Id: "late", Queue: "y", Steps: []*wire.Step{{Count: 1, Size: taskSize}}}},
		{Submit: &wire.Workflow{Id: "moved", Queue: "x", Steps: []*wire.Step{{Count: 1, Size: taskSize}}}},
		{Cancel: "at b"},
	}
	document, err := os.ReadFile("testdata/earlier_build.json")
	assert.NilError(t, err)
	expected := &wire.WorkflowState{}
	assert.NilError(t, protojson.Unmarshal(document, expected))
	for restartedAfter := range len(log) {
		s := workflow.New(workflow.Options{})
		for i, c := range log {
			s.Apply(1, c)
			if i == restartedAfter {
				s = restarted(t, s)
			}
		}
		assert.Assert(t, proto.Equal(s.Snapshot(), expected), "restarted after record %d: %v", restartedAfter, s.Snapshot())
	}
	replayed, restored := workflow.New(workflow.Options{}), workflow.New(workflow.Options{})
	for _, c := range log {
		replayed.Apply(1, c)
	}
	assert.NilError(t, restored.Restore(expected))
	for _, s := range []*workflow.Table{replayed, restored} {
		putQueues(s, 3, queueAt("/a/", "x", "ours"), queueAt("/b/", "z", "theirs"))
		assert.Equal(t, submitAt(s, "/a/", "x", "new"), accepted)
	}
	assert.Assert(t, proto.Equal(replayed.Snapshot(), restored.Snapshot()))
	assert.Equal(t, poolOf(replayed, "at a"), "theirs", "the earlier build had moved it")
	assert.Equal(t, poolOf(replayed, "new"), "ours")
}

// TestQueuesAreIdentifiedByPlace draws configurations that reuse, swap and repeat names, drop places and bring them back, with submissions that were checked under the configuration before, and compares with a model that has no names.
func TestQueuesAreIdentifiedByPlace(t *testing.T) {
	prefixes, names, pools := []string{"/a/", "/b/", "/c/"}, []string{"x", "y"}, []string{"p", "q"}
	type accepted struct {
		prefix string
		queue  *wire.Queue
	}
	rapid.Check(t, func(t *rapid.T) {
		s := workflow.New(workflow.Options{})
		version, submitted := uint64(0), 0
		current, before, jobs := map[string]*wire.Queue{}, map[string]*wire.Queue{}, map[string]*accepted{}
		t.Repeat(map[string]func(*rapid.T){
			"configure": func(t *rapid.T) {
				version++
				before, current = current, map[string]*wire.Queue{}
				var queues []*wire.Queue
				for _, prefix := range rapid.SliceOfDistinct(rapid.SampledFrom(prefixes), func(prefix string) string { return prefix }).Draw(t, "prefixes") {
					current[prefix] = queueAt(prefix, rapid.SampledFrom(names).Draw(t, "name"), rapid.SampledFrom(pools).Draw(t, "pool"))
					queues = append(queues, current[prefix])
				}
				putQueues(s, version, queues...)
				for _, j := range jobs {
					if q := current[j.prefix]; q != nil {
						j.queue = q
					}
				}
			},
			"submit": func(t *rapid.T) {
				prefix := rapid.SampledFrom(prefixes).Draw(t, "prefix")
				checked := rapid.SampledFrom([]map[string]*wire.Queue{before, current}).Draw(t, "configuration that the leader checked")
				if checked[prefix] == nil {
					return
				}
				submitted++
				id, answer := fmt.Sprint(submitted), noQueue
				if current[prefix] != nil {
					answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_OK
					jobs[id] = &accepted{prefix, current[prefix]}
				}
				assert.Equal(t, submitAt(s, prefix, checked[prefix].GetName(), id), answer)
			},
			"restart": func(t *rapid.T) {
				restored := workflow.New(workflow.Options{})
				assert.NilError(t, restored.Restore(s.Snapshot()))
				s = restored
			},
			"": func(t *rapid.T) {
				count := map[string]int64{}
				s.View(func(v *workflow.Tables) {
					assert.Equal(t, len(v.Jobs), len(jobs))
					for id, j := range jobs {
						count[j.prefix]++
						assert.Assert(t, proto.Equal(v.Jobs[id].Queue, j.queue), "%s at %s: %v, expected %v", id, j.prefix, v.Jobs[id].Queue, j.queue)
					}
				})
				for _, q := range current {
					s.View(func(v *workflow.Tables) {
						assert.Equal(t, v.WaitingJobs(q), count[q.GetPathPrefix()], "at %s", q.GetPathPrefix())
					})
				}
			},
		})
	})
}

// TestPoolOfAnOpenWorkflowStaysInUse guards against refusing the workers of a workflow whose queue was dropped, also on a replica that has restored a snapshot, and against keeping their pool in use once the workflow has ended.
func TestPoolOfAnOpenWorkflowStaysInUse(t *testing.T) {
	mayAnnounce := func(s *workflow.Table, pool string) (may bool) {
		s.View(func(v *workflow.Tables) { may = v.MayAnnounce(&wire.CalledWorker{Id: "w", Pool: pool}) })
		return may
	}
	s := workflow.New(workflow.Options{})
	putQueues(s, 1, queueAt("/a/", "x", "ours"), queueAt("/b/", "y", "theirs"))
	assert.Equal(t, submitAt(s, "/a/", "x", "job"), accepted)
	putQueues(s, 2, queueAt("/b/", "y", "theirs"))
	for _, s := range []*workflow.Table{s, restarted(t, s)} {
		assert.Assert(t, mayAnnounce(s, "ours"))
		assert.Assert(t, mayAnnounce(s, "theirs"))
		assert.Assert(t, !mayAnnounce(s, "foreign"))
		s.Apply(3, &wire.WorkflowCommand{ByPlace: true, Cancel: "job"})
		putQueues(s, 3, queueAt("/b/", "y", "theirs"))
		assert.Assert(t, !mayAnnounce(s, "ours"))
	}
}
