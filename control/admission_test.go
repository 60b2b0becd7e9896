package control_test

import (
	"fmt"
	"testing"
	"time"

	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

const overShare = wire.WorkflowAnswer_WORKFLOW_ANSWER_OVER_SHARE

// TestWorkspaceOverItsShareIsRefusedWhileThePoolIsFull guards against refusing what a workspace is entitled to, anything while there is room, or a workflow that was accepted before, and against a time to return at which the workflow is refused again.
func TestWorkspaceOverItsShareIsRefusedWhileThePoolIsFull(t *testing.T) {
	runOnCalledGroup(t, func(g *calledGroup) {
		g.putQueues(keyedQueues(1, &wire.Workspace{Name: "a", Keys: []string{"a1"}, Weight: 0.5}, &wire.Workspace{Name: "b", Keys: []string{"b1"}, Weight: 0.5}))
		_, _, leaderID, _ := g.leaderAndFollower()
		c := g.callers(g.replicas[leaderID-1].Inner)
		for i := range 20 {
			path := fmt.Sprint("/q/early", i)
			assert.Equal(t, c.doWithKey(submitKind, path, "a1"), accepted)
			assert.Equal(t, c.doWithKey(cancelKind, path, "a1"), accepted)
		}
		g.announce("w", "p", "w:1", 1, 1, false)
		assert.Equal(t, c.doWithKey(submitKind, "/q/runs", "b1"), accepted)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, c.doWithKey(submitKind, "/q/waits", "b1"), accepted)
		time.Sleep(400 * time.Millisecond)
		answer := accepted
		for i := 0; i < 5 && answer == accepted; i++ {
			answer = c.doWithKey(submitKind, fmt.Sprint("/q/more", i), "a1")
		}
		assert.Equal(t, answer, overShare)
		assert.Equal(t, c.doWithKey(submitKind, "/q/waits", "b1"), accepted)
		assert.Equal(t, c.doWithKey(submitKind, "/q/more0", "a1"), accepted)
		refused := &wire.WorkflowRequest{Number: 1, Kind: submitKind, Host: "h", Path: "/q/again", Key: "a1", Workflow: &wire.Workflow{Steps: []*wire.Step{{Count: 1, Size: &wire.Size{MilliCpu: 1}}}}}
		assert.NilError(t, c.stream.Send(refused))
		reply, err := c.stream.Recv()
		assert.NilError(t, err)
		assert.Equal(t, reply.GetAnswer(), overShare)
		assert.Assert(t, reply.GetRetryAfterMs() > 0 && reply.GetRetryAfterMs() <= 5000, "%d ms", reply.GetRetryAfterMs())
		assert.Equal(t, c.doWithKey(submitKind, "/open/free", ""), accepted, "a caller of no workspace")
		time.Sleep(time.Duration(reply.GetRetryAfterMs()) * time.Millisecond)
		assert.Equal(t, c.doWithKey(submitKind, "/q/again", "a1"), accepted)
	})
}
