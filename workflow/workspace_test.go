package workflow_test

import (
	"fmt"
	"testing"

	"daisyswitch/resource"
	"daisyswitch/share"
	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	accepted       = wire.WorkflowAnswer_WORKFLOW_ANSWER_OK
	unknownKey     = wire.WorkflowAnswer_WORKFLOW_ANSWER_UNKNOWN_KEY
	otherWorkspace = wire.WorkflowAnswer_WORKFLOW_ANSWER_OTHER_WORKSPACE
	invalid        = wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID
)

// putWorkspaces puts a configuration with workspaces in force, whose keys start with their names. Queue q needs a key, queue open does not.
func putWorkspaces(t *workflow.Table, workspaces ...*wire.Workspace) {
	version := uint64(0)
	t.View(func(s *workflow.Tables) { version = s.Queues.GetVersion() })
	t.Apply(1, &wire.WorkflowCommand{Queues: &wire.QueueSet{Version: version + 1, Keyed: true, Workspaces: workspaces, Queues: []*wire.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 2},
		{Name: "open", Host: "h", PathPrefix: "/open/", Pool: "p", MaxAttempts: 2, Public: true},
	}}})
}

func workspace(name string, keys ...string) *wire.Workspace {
	return &wire.Workspace{Name: name, Keys: keys, Weight: 1}
}

func submitWithKey(t *workflow.Table, queue, id, key string) wire.WorkflowAnswer {
	w := &wire.Workflow{Id: id, Queue: queue, Host: "h", PathPrefix: "/" + queue + "/", Workspace: "forged", Steps: []*wire.Step{{Count: 4, Size: taskSize}}}
	return t.Apply(2, &wire.WorkflowCommand{ByPlace: true, Submit: w, Key: key}).Answer
}

func cancelWithKey(t *workflow.Table, id, key string) wire.WorkflowAnswer {
	return t.Apply(2, &wire.WorkflowCommand{ByPlace: true, Cancel: id, Key: key}).Answer
}

func workspaceOf(t *workflow.Table, id string) (name string) {
	t.View(func(s *workflow.Tables) { name = s.Jobs[id].Spec.GetWorkspace() })
	return name
}

// restarted returns a replica that has been restored from a snapshot.
func restarted(t *testing.T, s *workflow.Table) *workflow.Table {
	restored := workflow.New(workflow.Options{})
	assert.NilError(t, restored.Restore(s.Snapshot()))
	return restored
}

// TestKeyIsCheckedWhenTheRecordIsApplied guards against a submission or cancellation that takes effect after the configuration without its key, which was committed after the leader had checked the key.
func TestKeyIsCheckedWhenTheRecordIsApplied(t *testing.T) {
	s := newTable()
	putWorkspaces(s, workspace("a", "a1", "a2"), workspace("b", "b1"))
	assert.Equal(t, submitWithKey(s, "q", "one", "a1"), accepted)
	assert.Equal(t, workspaceOf(s, "one"), "a")
	putWorkspaces(s, workspace("a", "a2"), workspace("b", "b1"))
	for _, s := range []*workflow.Table{s, restarted(t, s)} {
		assert.Equal(t, submitWithKey(s, "q", "two", "a1"), unknownKey)
		assert.Equal(t, submitWithKey(s, "q", "one", "a1"), unknownKey)
		assert.Equal(t, cancelWithKey(s, "one", "a1"), unknownKey)
		assert.Equal(t, cancelWithKey(s, "one", ""), unknownKey)
		assert.Equal(t, jobState(s, "one"), workflow.StateQueued)
		assert.Equal(t, submitWithKey(s, "q", "one", "b1"), invalid)
		assert.Equal(t, cancelWithKey(s, "one", "b1"), otherWorkspace)
		assert.Equal(t, jobState(s, "one"), workflow.StateQueued)
		assert.Equal(t, submitWithKey(s, "q", "one", "a2"), accepted)
		assert.Equal(t, cancelWithKey(s, "one", "a2"), accepted)
		assert.Equal(t, jobState(s, "one"), workflow.StateCancelled)
		s.View(func(v *workflow.Tables) { assert.Equal(t, len(v.Jobs), 1) })
	}
}

// TestPublicQueueNeedsNoKey guards against refusing callers of a public queue, also one that named its key only with the submission, and against forgetting whose workflow a known key submits.
func TestPublicQueueNeedsNoKey(t *testing.T) {
	s := newTable()
	putWorkspaces(s, workspace("a", "a1"))
	for id, key := range map[string]string{"none": "", "unknown": "x", "known": "a1"} {
		assert.Equal(t, submitWithKey(s, "open", id, key), accepted, "with the %s key", id)
	}
	assert.Equal(t, workspaceOf(s, "none"), "")
	assert.Equal(t, workspaceOf(s, "unknown"), "")
	assert.Equal(t, workspaceOf(s, "known"), "a")
	assert.Equal(t, submitWithKey(s, "open", "known", ""), accepted, "the same submission again")
	assert.Equal(t, workspaceOf(s, "known"), "a")
	assert.Equal(t, cancelWithKey(s, "known", ""), accepted)
	assert.Equal(t, cancelWithKey(s, "none", "a1"), accepted)
	assert.Equal(t, jobState(s, "known"), workflow.StateCancelled)
}

// TestConfigurationWithoutWorkspacesNeedsNoKey guards against refusing callers of earlier deployments, and of one that goes back to a configuration without workspaces.
func TestConfigurationWithoutWorkspacesNeedsNoKey(t *testing.T) {
	s := newTable()
	assert.Equal(t, submitWithKey(s, "q", "one", ""), accepted)
	assert.Equal(t, submitWithKey(s, "q", "two", "x"), accepted)
	putWorkspaces(s, workspace("a", "a1"))
	assert.Equal(t, workspaceOf(s, "two"), "")
	assert.Equal(t, submitWithKey(s, "q", "three", "a1"), accepted)
	assert.Equal(t, cancelWithKey(s, "one", "a1"), accepted, "a workflow of no workspace")
	s.Apply(1, &wire.WorkflowCommand{Queues: &wire.QueueSet{Version: 100, Queues: []*wire.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 2}}}})
	assert.Equal(t, cancelWithKey(s, "three", ""), accepted)
}

// TestSharesOfAllWorkspacesAddUp guards against shares that promise more than a pool has, so that a workspace may wait below its share while no other exceeds its own.
func TestSharesOfAllWorkspacesAddUp(t *testing.T) {
	s := newTable()
	putWorkspaces(s, &wire.Workspace{Name: "a", Weight: 1}, &wire.Workspace{Name: "b", Weight: 5}, &wire.Workspace{Name: "c"})
	s.View(func(v *workflow.Tables) {
		assert.Equal(t, v.Share("a"), 0.125)
		assert.Equal(t, v.Share("b"), 0.625)
		assert.Equal(t, v.Share("c"), 0.0)
		assert.Equal(t, v.Share(""), 0.25, "the public queue serves callers of no workspace")
	})
	putWorkspaces(s, &wire.Workspace{Name: "c"})
	s.View(func(v *workflow.Tables) { assert.Equal(t, v.Share("c"), 0.0) })
}

func limited(name string, milliCPU int64) *wire.Workspace {
	return &wire.Workspace{Name: name, Keys: []string{name + "1"}, Weight: 1, Quota: &wire.Size{MilliCpu: milliCPU}}
}

func inUse(t *workflow.Table, workspace string) (use share.Use) {
	t.View(func(s *workflow.Tables) { use = s.InUse(workspace) })
	return use
}

// TestQuotaBoundsWhatMayBeRunning guards against starts beyond a workspace's quota: over several workers, beside runs that may still be running, after a restart, and after the quota was lowered.
func TestQuotaBoundsWhatMayBeRunning(t *testing.T) {
	s := newTable()
	putWorkspaces(s, limited("a", 3500), limited("b", 500))
	assert.Equal(t, submitWithKey(s, "q", "one", "a1"), accepted)
	assert.Equal(t, submitWithKey(s, "q", "two", "a1"), accepted)
	assert.Equal(t, submitWithKey(s, "q", "other", "b1"), accepted)
	assert.Assert(t, start(s, taskName("one", 0, 0), 1, "w", 1))
	assert.Assert(t, start(s, taskName("one", 0, 1), 1, "v", 1))
	assert.Assert(t, start(s, taskName("two", 0, 0), 1, "v", 1))
	assert.Assert(t, !start(s, taskName("two", 0, 1), 1, "w", 1), "started beyond the quota")
	assert.Assert(t, start(s, taskName("other", 0, 0), 1, "w", 1), "the only task of a workspace, though larger than its quota, or another workspace's quota counted")
	assert.Assert(t, !start(s, taskName("other", 0, 1), 1, "w", 1), "a second task beside one larger than the quota")
	for _, s := range []*workflow.Table{s, restarted(t, s)} {
		s.Apply(5, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker("w", 2)}})
		assert.Equal(t, cancelWithKey(s, "one", "a1"), accepted)
		assert.Equal(t, inUse(s, "a").Size, resource.Size{MilliCPU: 3000, MemoryMiB: 3000}, "runs that are being stopped or that a restarted worker may have lost")
		assert.Assert(t, !start(s, taskName("two", 0, 1), 1, "w", 2), "started before a cancelled run has ended")
		putWorkspaces(s, limited("a", 1000), limited("b", 500))
		recordNextEnd(s, taskName("one", 0, 1), 1, "v", 1, stopped)
		assert.Assert(t, !start(s, taskName("two", 0, 1), 1, "w", 2), "started beyond the lowered quota")
		putWorkspaces(s, limited("a", 4000))
		assert.Assert(t, start(s, taskName("two", 0, 1), 1, "w", 2), "the raised quota is not in force")
		assert.Assert(t, start(s, taskName("other", 0, 1), 1, "w", 2), "a dropped workspace has a quota")
		assert.Equal(t, inUse(s, "b").Tasks, int64(2))
	}
}

// TestTaskThatMayBeRunningOutlastsItsWorkflow guards against a snapshot that lacks a task which may still be running, after its workflow has ended long ago, so that a restored replica would start more than the quota.
func TestTaskThatMayBeRunningOutlastsItsWorkflow(t *testing.T) {
	s := newTable()
	putWorkspaces(s, limited("a", 1000))
	assert.Equal(t, submitWithKey(s, "q", "one", "a1"), accepted)
	assert.Assert(t, start(s, taskName("one", 0, 0), 1, "w", 1))
	assert.Equal(t, cancelWithKey(s, "one", "a1"), accepted)
	s.Apply(1_000_000, &wire.WorkflowCommand{Submit: &wire.Workflow{Id: "two", Queue: "q", Steps: []*wire.Step{{Count: 1, Size: taskSize}}}, Key: "a1"})
	for _, s := range []*workflow.Table{s, restarted(t, s)} {
		assert.Equal(t, inUse(s, "a").Tasks, int64(1))
		recordNextEnd(s, taskName("one", 0, 0), 1, "w", 1, stopped)
		assert.Equal(t, inUse(s, "a").Tasks, int64(0))
	}
}

// TestUseOfAWorkspaceIsExact applies random histories and checks that the use of each workspace is that of the tasks on all workers, also in a restored snapshot, and stays within its quota.
func TestUseOfAWorkspaceIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTable()
		quotas := map[string]int64{"a": 0, "b": 2000, "c": 3000}
		putWorkspaces(s, limited("a", 0), limited("b", 2000), limited("c", 3000))
		jobs, born, nowMS := 0, map[string]int64{"w": 1, "v": 1}, int64(10)
		worker := func(t *rapid.T) string { return rapid.SampledFrom([]string{"w", "v"}).Draw(t, "worker") }
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				jobs++
				steps := []*wire.Step{{Count: 3, Size: taskSize, Filling: rapid.Bool().Draw(t, "filling"), Gang: rapid.Bool().Draw(t, "gang")}, {Count: 2, Size: taskSize, After: []int32{0}, Lasting: rapid.Bool().Draw(t, "lasting")}}
				key := rapid.SampledFrom([]string{"a1", "b1", "c1", ""}).Draw(t, "key")
				nowMS += rapid.Int64Range(0, 200_000).Draw(t, "time")
				s.Apply(nowMS, &wire.WorkflowCommand{Submit: &wire.Workflow{Id: fmt.Sprint(jobs), Queue: "open", Steps: steps}, Key: key})
			},
			"start": func(t *rapid.T) {
				worker, task := worker(t), drawTask(t, jobs)
				before := checkUse(t, s)
				started := start(s, task, rapid.Int32Range(1, 4).Draw(t, "run"), worker, born[worker])
				name := ""
				s.View(func(v *workflow.Tables) {
					if j := v.Jobs[task.GetWorkflow()]; j != nil {
						name = j.Spec.GetWorkspace()
					}
				})
				if quota := quotas[name]; started && quota > 0 && before[name].Tasks > 0 && inUse(s, name).MilliCPU > quota {
					t.Fatalf("a start brings workspace %s to %v, beyond its quota", name, inUse(s, name))
				}
			},
			"configure": func(t *rapid.T) {
				quotas = map[string]int64{}
				var workspaces []*wire.Workspace
				for _, name := range []string{"a", "b", "c"} {
					if rapid.IntRange(0, 3).Draw(t, "kept") > 0 {
						quotas[name] = rapid.Int64Range(0, 5).Draw(t, "quota") * 1000
						workspaces = append(workspaces, limited(name, quotas[name]))
					}
				}
				putWorkspaces(s, workspaces...)
			},
			"restart": func(t *rapid.T) {
				worker := worker(t)
				born[worker]++
				s.Apply(nowMS, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{calledWorker(worker, born[worker])}})
			},
			"move": func(t *rapid.T) {
				w := calledWorker(worker(t), 0)
				w.Born, w.Pool = born[w.GetId()], rapid.SampledFrom([]string{"p", "other"}).Draw(t, "pool")
				s.Apply(nowMS, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{w}})
			},
			"depart": func(t *rapid.T) {
				w := calledWorker(worker(t), 0)
				w.Born, w.Gone = born[w.GetId()], true
				s.Apply(nowMS, &wire.WorkflowCommand{Workers: []*wire.CalledWorker{w}})
			},
			"end": func(t *rapid.T) {
				outcome, worker := rapid.SampledFrom([]wire.RunOutcome{done, failed, lapsed, stopped}).Draw(t, "outcome"), worker(t)
				recordNextEnd(s, drawTask(t, jobs), rapid.Int32Range(1, 4).Draw(t, "run"), worker, rapid.Int64Range(1, born[worker]).Draw(t, "born"), outcome)
			},
			"cancel": func(t *rapid.T) { cancelWithKey(s, fmt.Sprint(rapid.IntRange(1, 20).Draw(t, "job")), "a1") },
			"":       func(t *rapid.T) { checkUse(t, s) },
		})
	})
}

// checkUse compares the uses of all workspaces with the tasks on the workers, and returns them.
func checkUse(t *rapid.T, s *workflow.Table) map[string]share.Use {
	restored := workflow.New(workflow.Options{})
	if err := restored.Restore(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	sums, inPools := map[string]share.Use{}, map[[2]string]share.Use{}
	for _, table := range []*workflow.Table{restored, s} {
		clear(sums)
		clear(inPools)
		table.View(func(v *workflow.Tables) {
			for _, w := range v.Workers {
				for task := range w.Tasks {
					name := task.Step.Job.Spec.GetWorkspace()
					size, lasting, inPool := resource.FromWire(task.Step.Spec.GetSize()), task.Step.Spec.GetLasting(), [2]string{name, w.GetPool()}
					sums[name] = sums[name].Plus(size, lasting, 1)
					inPools[inPool] = inPools[inPool].Plus(size, lasting, 1)
				}
			}
			for _, name := range []string{"a", "b", "c", ""} {
				for _, pool := range []string{"p", "other"} {
					if inPool := v.InPool(name, pool); inPool != inPools[[2]string{name, pool}] {
						t.Fatalf("workspace %s uses %v of pool %s by its count, its tasks use %v", name, inPool, pool, inPools)
					}
				}
				if v.InUse(name) != sums[name] {
					t.Fatalf("workspace %s uses %v by its count, its tasks use %v", name, v.InUse(name), sums[name])
				}
			}
		})
	}
	return sums
}
