package workflow_test

import (
	"testing"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
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
	w := &wire.Workflow{Id: id, Queue: queue, Workspace: "forged", Steps: []*wire.Step{{Count: 4, Size: taskSize}}}
	return t.Apply(2, &wire.WorkflowCommand{Submit: w, Key: key}).Answer
}

func cancelWithKey(t *workflow.Table, id, key string) wire.WorkflowAnswer {
	return t.Apply(2, &wire.WorkflowCommand{Cancel: id, Key: key}).Answer
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

// TestPublicQueueNeedsNoKey guards against refusing callers of a public queue, and against forgetting whose workflow a known key submits.
func TestPublicQueueNeedsNoKey(t *testing.T) {
	s := newTable()
	putWorkspaces(s, workspace("a", "a1"))
	for id, key := range map[string]string{"none": "", "unknown": "x", "known": "a1"} {
		assert.Equal(t, submitWithKey(s, "open", id, key), accepted, "with the %s key", id)
	}
	assert.Equal(t, workspaceOf(s, "none"), "")
	assert.Equal(t, workspaceOf(s, "unknown"), "")
	assert.Equal(t, workspaceOf(s, "known"), "a")
	assert.Equal(t, cancelWithKey(s, "known", ""), otherWorkspace)
	assert.Equal(t, cancelWithKey(s, "none", ""), accepted)
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
