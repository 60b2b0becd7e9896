package control_test

import (
	"fmt"
	"testing"
	"time"

	"daisyswitch/inner"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

// callers sends callers' requests to the leader over a stream, as a gateway does.
type callers struct {
	t      *testing.T
	stream wire.DRPCControl_WorkflowsClient
}

func (g *group) callers(address string) *callers {
	pool := inner.New(inner.Options{Dial: g.fabric.Dialer("gateway")})
	conn, err := pool.Dial(g.t.Context(), address)
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { conn.Close() })
	stream, err := wire.NewDRPCControlClient(conn).Workflows(g.t.Context())
	assert.NilError(g.t, err)
	return &callers{t: g.t, stream: stream}
}

func (c *callers) do(kind wire.WorkflowRequestKind, path string, w *wire.Workflow) *wire.WorkflowReply {
	assert.NilError(c.t, c.stream.Send(&wire.WorkflowRequest{Number: 1, Kind: kind, Host: "h", Path: path, Workflow: w}))
	reply, err := c.stream.Recv()
	assert.NilError(c.t, err)
	return reply
}

// TestCallerOfOneQueueReachesNoWorkflowOfAnother checks that a caller who knows or guesses the id of another queue's workflow can neither read, cancel, replace nor stand in for it.
func TestCallerOfOneQueueReachesNoWorkflowOfAnother(t *testing.T) {
	runOnGroup(t, func(t *testing.T, g *group) {
		g.putQueues(&wire.QueueSet{Version: 1, Queues: []*wire.Queue{
			{Name: "ours", Host: "h", PathPrefix: "/ours/", Pool: "p", MaxAttempts: 1}, {Name: "theirs", Host: "h", PathPrefix: "/theirs/", Pool: "p", MaxAttempts: 1},
		}})
		_, _, leaderID, _ := g.leaderAndFollower()
		c := g.callers(g.replicas[leaderID-1].Inner)
		const (
			submit = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT
			cancel = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_CANCEL
			state  = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_STATE
		)
		workflow := func() *wire.Workflow {
			return &wire.Workflow{Payload: "p", Steps: []*wire.Step{{Count: 1, Size: &wire.Size{MilliCpu: 1}}}}
		}
		assert.Equal(t, c.do(submit, "/theirs/5c0e", workflow()).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
		time.Sleep(time.Second)
		assert.Equal(t, c.do(state, "/ours/5c0e", nil).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW)
		assert.Equal(t, c.do(cancel, "/ours/5c0e", nil).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW)
		refused := c.do(submit, "/ours/5c0e", workflow())
		assert.Equal(t, refused.GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID, "accepted, though it never runs")
		assert.Equal(t, refused.GetFailure().GetVerdict(), wire.Verdict_VERDICT_NOT_RUN)
		assert.Equal(t, c.do(state, "/ours/", nil).GetWaiting(), int64(0))
		theirs := c.do(state, "/theirs/5c0e", nil)
		assert.Equal(t, theirs.GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
		assert.Equal(t, theirs.GetState(), "queued")
		assert.Equal(t, c.do(submit, "/theirs/5c0e", workflow()).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
	})
}

// TestWorkflowOfARenamedQueueIsStillReached guards against accepted workflows that can no longer be asked for or cancelled, since a configuration gave their place another name.
func TestWorkflowOfARenamedQueueIsStillReached(t *testing.T) {
	runOnGroup(t, func(t *testing.T, g *group) {
		const (
			submit = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT
			cancel = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_CANCEL
			state  = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_STATE
		)
		put := func(version uint64, name string, prefixes ...string) {
			set := &wire.QueueSet{Version: version}
			for _, prefix := range prefixes {
				set.Queues = append(set.Queues, &wire.Queue{Name: name + prefix, Host: "h", PathPrefix: prefix, Pool: "p", MaxAttempts: 1})
			}
			g.putQueues(set)
		}
		put(1, "old", "/a/", "/b/")
		_, _, leaderID, _ := g.leaderAndFollower()
		c := g.callers(g.replicas[leaderID-1].Inner)
		w := func() *wire.Workflow {
			return &wire.Workflow{Payload: "p", Steps: []*wire.Step{{Count: 1, Size: &wire.Size{MilliCpu: 1}}}}
		}
		assert.Equal(t, c.do(submit, "/a/5c0e", w()).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
		for version, prefixes := range [][]string{{"/a/", "/b/"}, {"/b/"}, {"/a/", "/b/"}} {
			put(uint64(version+2), fmt.Sprint("name", version), prefixes...)
		}
		assert.Equal(t, c.do(state, "/a/5c0e", nil).GetState(), "queued")
		assert.Equal(t, c.do(state, "/a/", nil).GetWaiting(), int64(1))
		assert.Equal(t, c.do(submit, "/a/5c0e", w()).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
		assert.Equal(t, c.do(state, "/b/5c0e", nil).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW)
		assert.Equal(t, c.do(submit, "/b/5c0e", w()).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID)
		assert.Equal(t, c.do(cancel, "/a/5c0e", nil).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
		assert.Equal(t, c.do(state, "/a/5c0e", nil).GetState(), "cancelled")
	})
}

// TestWorkflowIsReachedAtItsPlaceOnly guards against accepted workflows that get 410 at their place and are shown and cancelled at another one, since a configuration uses the name of their queue there, or for both.
func TestWorkflowIsReachedAtItsPlaceOnly(t *testing.T) {
	const (
		submit = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT
		cancel = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_CANCEL
		state  = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_STATE
	)
	w := func() *wire.Workflow {
		return &wire.Workflow{Payload: "p", Steps: []*wire.Step{{Count: 1, Size: &wire.Size{MilliCpu: 1}}}}
	}
	for name, versions := range map[string][][2]string{ // the names of /a/ and /b/ in successive versions, empty where there is no queue
		"reused":   {{"one", ""}, {"three", ""}, {"three", "one"}},
		"swapped":  {{"one", "two"}, {"two", "one"}},
		"repeated": {{"one", "one"}},
		"returned": {{"one", "two"}, {"", "one"}, {"two", "one"}},
	} {
		t.Run(name, func(t *testing.T) {
			runOnGroup(t, func(t *testing.T, g *group) {
				put := func(version int) {
					set := &wire.QueueSet{Version: uint64(version + 1)}
					for i, prefix := range []string{"/a/", "/b/"} {
						if name := versions[version][i]; name != "" {
							set.Queues = append(set.Queues, &wire.Queue{Name: name, Host: "h", PathPrefix: prefix, Pool: "p", MaxAttempts: 1})
						}
					}
					g.putQueues(set)
				}
				put(0)
				_, _, leaderID, _ := g.leaderAndFollower()
				c := g.callers(g.replicas[leaderID-1].Inner)
				assert.Equal(t, c.do(submit, "/a/5c0e", w()).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
				for version := 1; version < len(versions); version++ {
					put(version)
				}
				assert.Equal(t, c.do(state, "/a/5c0e", nil).GetState(), "queued")
				assert.Equal(t, c.do(state, "/a/", nil).GetWaiting(), int64(1))
				assert.Equal(t, c.do(submit, "/a/5c0e", w()).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
				assert.Equal(t, c.do(state, "/b/5c0e", nil).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW)
				assert.Equal(t, c.do(state, "/b/", nil).GetWaiting(), int64(0))
				assert.Equal(t, c.do(submit, "/b/5c0e", w()).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID)
				assert.Equal(t, c.do(cancel, "/b/5c0e", nil).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW)
				assert.Equal(t, c.do(cancel, "/a/5c0e", nil).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
				assert.Equal(t, c.do(state, "/a/5c0e", nil).GetState(), "cancelled")
			})
		})
	}
}

// TestResentRequestIsAnsweredFromItsWorkflow guards against refusing a request whose first try was accepted and not answered, since a configuration has dropped its queue between the tries, and against serving a caller that may not reach the workflow.
func TestResentRequestIsAnsweredFromItsWorkflow(t *testing.T) {
	runOnGroup(t, func(t *testing.T, g *group) {
		workspaces := []*wire.Workspace{{Name: "a", Keys: []string{"a1"}}, {Name: "b", Keys: []string{"b1"}}}
		g.putQueues(keyedQueues(1, workspaces...))
		_, _, leaderID, _ := g.leaderAndFollower()
		c := g.callers(g.replicas[leaderID-1].Inner)
		do := func(kind wire.WorkflowRequestKind, path, key string, resent bool) wire.WorkflowAnswer {
			request := &wire.WorkflowRequest{Number: 1, Kind: kind, Host: "h", Path: path, Key: key, Resent: resent}
			if kind == submitKind {
				request.Workflow = &wire.Workflow{Payload: "p", Steps: []*wire.Step{{Count: 1, Size: &wire.Size{MilliCpu: 1}}}}
			}
			assert.NilError(t, c.stream.Send(request))
			reply, err := c.stream.Recv()
			assert.NilError(t, err)
			return reply.GetAnswer()
		}
		const (
			cancel     = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_CANCEL
			state      = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_STATE
			ok         = wire.WorkflowAnswer_WORKFLOW_ANSWER_OK
			noQueue    = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_QUEUE
			unknownKey = wire.WorkflowAnswer_WORKFLOW_ANSWER_UNKNOWN_KEY
		)
		assert.Equal(t, do(submitKind, "/q/5c0e", "a1", false), ok)
		assert.Equal(t, do(submitKind, "/q/5c0e", "x", true), unknownKey)
		assert.Equal(t, do(submitKind, "/q/5c0e", "b1", true), wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID)
		g.putQueues(&wire.QueueSet{Version: 2, Keyed: true, Workspaces: workspaces, Queues: []*wire.Queue{queueAt("/other/", "p")}})
		assert.Equal(t, do(submitKind, "/q/5c0e", "a1", false), noQueue)
		assert.Equal(t, do(submitKind, "/q/5c0e", "a1", true), ok)
		assert.Equal(t, do(submitKind, "/q/5c0e", "b1", true), noQueue)
		assert.Equal(t, do(submitKind, "/q/0000", "a1", true), noQueue)
		assert.Equal(t, do(state, "/q/5c0e", "a1", true), noQueue)
		assert.Equal(t, do(cancel, "/q/5c0e", "a1", false), noQueue)
		assert.Equal(t, do(cancel, "/q/5c0e", "b1", true), noQueue)
		assert.Equal(t, do(cancel, "/q/5c0e", "a1", true), ok)
		g.putQueues(keyedQueues(3, workspaces...))
		assert.Equal(t, c.doWithKey(state, "/q/5c0e", "a1"), ok)
		assert.NilError(t, c.stream.Send(&wire.WorkflowRequest{Number: 1, Kind: state, Host: "h", Path: "/q/5c0e", Key: "a1"}))
		reply, err := c.stream.Recv()
		assert.NilError(t, err)
		assert.Equal(t, reply.GetState(), "cancelled")
	})
}

// TestWorkflowsBeyondTheMemoryAreRefused guards against accepted workflows that take more memory than the replicas have, again after each restart, and against a refusal of what is accepted already, for ever, or with a time to return at which it is refused again.
func TestWorkflowsBeyondTheMemoryAreRefused(t *testing.T) {
	const (
		accepted   = wire.WorkflowAnswer_WORKFLOW_ANSWER_OK
		noMemory   = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_MEMORY
		submit     = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT
		cancel     = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_CANCEL
		maxHeld    = 500_000
		tasks      = 1000 // about 130,000 bytes
		maxTimeout = 3 * time.Minute
	)
	w := func(tasks int32) *wire.Workflow {
		return &wire.Workflow{Payload: "p", Steps: []*wire.Step{{Count: tasks, Size: &wire.Size{MilliCpu: 1}}}}
	}
	runOnGroup(t, func(t *testing.T, g *group) {
		g.maxHeld = maxHeld
		for id := range uint64(len(g.replicas)) {
			g.stop(id + 1)
			g.start(id + 1)
		}
		time.Sleep(3 * time.Second)
		g.putQueues(keyedQueues(1))
		leaderCallers := func() (*callers, uint64) {
			_, _, leaderID, _ := g.leaderAndFollower()
			return g.callers(g.replicas[leaderID-1].Inner), leaderID
		}
		c, leaderID := leaderCallers()
		for i := range 3 {
			assert.Equal(t, c.do(submit, fmt.Sprint("/open/", i), w(tasks)).GetAnswer(), accepted)
		}
		refused := c.do(submit, "/open/3", w(tasks))
		assert.Equal(t, refused.GetAnswer(), noMemory)
		assert.Assert(t, refused.GetRetryAfterMs() > 0)
		assert.Equal(t, c.do(submit, "/open/0", w(tasks)).GetAnswer(), accepted, "the same submission again")
		assert.Equal(t, c.do(submit, "/open/small", w(1)).GetAnswer(), accepted)
		tooLarge := c.do(submit, "/open/large", w(10*tasks))
		assert.Equal(t, tooLarge.GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID, "it can never be accepted")
		g.stop(leaderID)
		g.start(leaderID)
		time.Sleep(3 * time.Second)
		c, _ = leaderCallers()
		assert.Equal(t, c.do(submit, "/open/3", w(tasks)).GetAnswer(), noMemory)
		assert.Equal(t, c.do(cancel, "/open/0", nil).GetAnswer(), accepted)
		refused = c.do(submit, "/open/3", w(tasks))
		assert.Equal(t, refused.GetAnswer(), noMemory, "callers may still ask for the cancelled one")
		retryAfter := time.Duration(refused.GetRetryAfterMs()) * time.Millisecond
		assert.Assert(t, retryAfter > 0 && retryAfter < maxTimeout)
		time.Sleep(retryAfter)
		assert.Equal(t, c.do(submit, "/open/3", w(tasks)).GetAnswer(), accepted)
	})
}
