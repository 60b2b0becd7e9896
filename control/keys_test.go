package control_test

import (
	"bytes"
	"testing"
	"time"

	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

const (
	submitKind = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT
	cancelKind = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_CANCEL
	stateKind  = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_STATE

	accepted       = wire.WorkflowAnswer_WORKFLOW_ANSWER_OK
	noQueue        = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_QUEUE
	noWorkflow     = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW
	unknownKey     = wire.WorkflowAnswer_WORKFLOW_ANSWER_UNKNOWN_KEY
	otherWorkspace = wire.WorkflowAnswer_WORKFLOW_ANSWER_OTHER_WORKSPACE
	invalid        = wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID
)

// keyedQueues returns a configuration with one queue that needs a key and one that does not.
func keyedQueues(version uint64, workspaces ...*wire.Workspace) *wire.QueueSet {
	return &wire.QueueSet{Version: version, Keyed: true, Workspaces: workspaces, Queues: []*wire.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 1},
		{Name: "open", Host: "h", PathPrefix: "/open/", Pool: "p", MaxAttempts: 1, Public: true},
	}}
}

// doWithKey sends a request with a key and returns its answer.
func (c *callers) doWithKey(kind wire.WorkflowRequestKind, path, key string) wire.WorkflowAnswer {
	c.t.Helper()
	request := &wire.WorkflowRequest{Number: 1, Kind: kind, Host: "h", Path: path, Key: key}
	if kind == submitKind {
		request.Workflow = &wire.Workflow{Payload: "p", Workspace: "forged", Steps: []*wire.Step{{Count: 1, Size: &wire.Size{MilliCpu: 1}}}}
	}
	assert.NilError(c.t, c.stream.Send(request))
	reply, err := c.stream.Recv()
	assert.NilError(c.t, err)
	return reply.GetAnswer()
}

// TestCallersAreKnownByTheirKeys guards against serving a caller without a key that is in force, or one of another workspace.
func TestCallersAreKnownByTheirKeys(t *testing.T) {
	runOnGroup(t, func(t *testing.T, g *group) {
		a, b := &wire.Workspace{Name: "a", Keys: []string{"a1", "a2"}}, &wire.Workspace{Name: "b", Keys: []string{"b1"}}
		g.putQueues(keyedQueues(1, a, b))
		_, _, leaderID, _ := g.leaderAndFollower()
		c := g.callers(g.replicas[leaderID-1].Inner)
		for i, step := range []struct {
			kind   wire.WorkflowRequestKind
			path   string
			key    string
			answer wire.WorkflowAnswer
		}{
			{submitKind, "/q/one", "", unknownKey},
			{submitKind, "/q/one", "x", unknownKey},
			{stateKind, "/q/", "", unknownKey},
			{stateKind, "/other/", "", noQueue},
			{stateKind, "/q/one", "a1", noWorkflow},
			{submitKind, "/q/one", "a1", accepted},
			{submitKind, "/q/one", "a2", accepted},
			{stateKind, "/q/one", "a2", accepted},
			{stateKind, "/q/one", "b1", otherWorkspace},
			{cancelKind, "/q/one", "b1", otherWorkspace},
			{submitKind, "/q/one", "b1", invalid},
			{stateKind, "/open/one", "", noWorkflow},
			{submitKind, "/open/one", "", invalid},
			{submitKind, "/open/two", "", accepted},
			{submitKind, "/open/three", "x", accepted},
			{submitKind, "/open/four", "b1", accepted},
			{cancelKind, "/open/three", "", accepted},
			{submitKind, "/open/five", "b1", accepted},
			{submitKind, "/open/five", "", accepted},
			{stateKind, "/open/four", "", accepted},
			{stateKind, "/open/four", "a1", accepted},
			{cancelKind, "/open/four", "", accepted},
			{cancelKind, "/open/five", "a1", accepted},
		} {
			assert.Equal(t, c.doWithKey(step.kind, step.path, step.key), step.answer, "request %d: %v", i, step)
		}
		var page bytes.Buffer
		g.controls[leaderID].Metrics().WritePrometheus(&page)
		for _, line := range []string{`daisyswitch_callers_refused_total{cause="unknown_key"} 3`, `daisyswitch_callers_refused_total{cause="other_workspace"} 2`} {
			assert.Assert(t, bytes.Contains(page.Bytes(), []byte(line)), "%s lacks %s", page.String(), line)
		}
	})
}

// TestCutOffLeaderServesNoWithdrawnKey guards against a leader that goes on answering by its copy of the configuration after the others have withdrawn a key.
func TestCutOffLeaderServesNoWithdrawnKey(t *testing.T) {
	runOnGroup(t, func(t *testing.T, g *group) {
		g.putQueues(keyedQueues(1, &wire.Workspace{Name: "a", Keys: []string{"a1", "a2"}}))
		_, _, leaderID, _ := g.leaderAndFollower()
		c := g.callers(g.replicas[leaderID-1].Inner)
		assert.Equal(t, c.doWithKey(submitKind, "/q/one", "a1"), accepted)
		g.isolate(g.replicas[leaderID-1].Inner[:2])
		time.Sleep(3 * time.Second)
		withdrawn := false
		for id, other := range g.controls {
			if id != leaderID && !withdrawn {
				withdrawn = other.PutQueues(t.Context(), keyedQueues(2, &wire.Workspace{Name: "a", Keys: []string{"a2"}})) == nil
			}
		}
		assert.Assert(t, withdrawn)
		for _, kind := range []wire.WorkflowRequestKind{stateKind, submitKind, cancelKind} {
			assert.Equal(t, c.doWithKey(kind, "/q/one", "a1"), wire.WorkflowAnswer_WORKFLOW_ANSWER_FAILURE)
		}
	})
}

// TestWithdrawnKeyFails guards against serving a key that an acknowledged configuration has withdrawn, also by a leader that was elected later.
func TestWithdrawnKeyFails(t *testing.T) {
	runOnGroup(t, func(t *testing.T, g *group) {
		g.putQueues(keyedQueues(1, &wire.Workspace{Name: "a", Keys: []string{"a1", "a2"}}))
		leader, _, leaderID, _ := g.leaderAndFollower()
		c := g.callers(g.replicas[leaderID-1].Inner)
		assert.Equal(t, c.doWithKey(submitKind, "/q/one", "a1"), accepted)
		assert.NilError(t, leader.PutQueues(t.Context(), keyedQueues(2, &wire.Workspace{Name: "a", Keys: []string{"a2", "a3"}})))
		check := func(c *callers) {
			t.Helper()
			assert.Equal(t, c.doWithKey(stateKind, "/q/one", "a1"), unknownKey)
			assert.Equal(t, c.doWithKey(submitKind, "/q/two", "a1"), unknownKey)
			assert.Equal(t, c.doWithKey(cancelKind, "/q/one", "a1"), unknownKey)
			assert.Equal(t, c.doWithKey(stateKind, "/q/one", "a2"), accepted)
			assert.Equal(t, c.doWithKey(stateKind, "/q/one", "a3"), accepted)
		}
		check(c)
		g.stop(leaderID)
		_, _, nextID, _ := g.leaderAndFollower()
		check(g.callers(g.replicas[nextID-1].Inner))
	})
}
