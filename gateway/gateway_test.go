package gateway_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"daisyswitch/gateway"
	"daisyswitch/inner"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
)

// replica is a fake replica of control.
type replica struct {
	wire.DRPCControlUnimplementedServer
	server       *inner.Server
	leads        atomic.Bool
	unresponsive atomic.Bool // receives requests but answers none
	leader       atomic.Pointer[string]
	served       atomic.Int64
	lost         atomic.Int64 // further requests whose answer is lost with the stream
	answer       atomic.Int32 // to requests, a wire.WorkflowAnswer; 0 for OK
	resent       atomic.Bool  // whether the last request was marked as resent
}

func newReplica(t *testing.T) *replica {
	r := &replica{}
	mux := drpcmux.New()
	assert.NilError(t, wire.DRPCRegisterControl(mux, r))
	var err error
	r.server, err = inner.Listen(inner.ListenTCP, "127.0.0.1:0", mux)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, r.server.Close()) })
	return r
}

func (r *replica) Workflows(stream wire.DRPCControl_WorkflowsStream) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		hello := request.GetKind() == wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_HELLO
		reply := &wire.WorkflowReply{Number: request.GetNumber(), Answer: wire.WorkflowAnswer_WORKFLOW_ANSWER_OK, State: "running"}
		if !r.leads.Load() {
			reply = &wire.WorkflowReply{Number: request.GetNumber(), Answer: wire.WorkflowAnswer_WORKFLOW_ANSWER_FAILURE, Failure: &wire.Failure{Verdict: wire.Verdict_VERDICT_NOT_RUN}}
			if leader := r.leader.Load(); leader != nil {
				reply.Failure.Leader = *leader
			}
		}
		if !hello {
			r.served.Add(1)
			r.resent.Store(request.GetResent())
			if r.unresponsive.Load() {
				continue
			}
			if r.lost.Add(-1) >= 0 {
				return io.ErrUnexpectedEOF
			}
			if answer := r.answer.Load(); answer != 0 {
				reply.Answer = wire.WorkflowAnswer(answer)
			}
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

func newGateway(t *testing.T, seeds ...string) *gateway.Gateway {
	g := gateway.New(gateway.Options{Seeds: seeds})
	t.Cleanup(func() { assert.NilError(t, g.Close()) })
	return g
}

func queryState(g *gateway.Gateway) (*wire.WorkflowReply, error) {
	return g.Do(context.Background(), &wire.WorkflowRequest{Kind: wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_STATE})
}

func eventually(t *testing.T, condition func() bool) {
	for range 200 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 2 s")
}

// TestLeaderIsFoundThroughAnotherReplica covers a single seed that is a follower and names the leader.
func TestLeaderIsFoundThroughAnotherReplica(t *testing.T) {
	follower, leader := newReplica(t), newReplica(t)
	leader.leads.Store(true)
	address := leader.server.Address()
	follower.leader.Store(&address)
	g := newGateway(t, follower.server.Address())
	eventually(t, func() bool { return g.Ready() == nil })
	reply, err := queryState(g)
	assert.NilError(t, err)
	assert.Equal(t, reply.GetState(), "running")
}

func TestNewLeaderIsFollowed(t *testing.T) {
	a, b := newReplica(t), newReplica(t)
	a.leads.Store(true)
	g := newGateway(t, a.server.Address(), b.server.Address())
	eventually(t, func() bool { return g.Ready() == nil })
	a.leads.Store(false)
	b.leads.Store(true)
	eventually(t, func() bool { _, err := queryState(g); return err == nil })
	assert.Assert(t, b.served.Load() > 0)
}

// TestNoLeaderIsToldSoonAndTruly checks that without a leader a request fails within a second, as not run.
func TestNoLeaderIsToldSoonAndTruly(t *testing.T) {
	g := newGateway(t, newReplica(t).server.Address())
	began := time.Now()
	_, err := queryState(g)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Assert(t, g.Ready() != nil)
}

// TestRequestWaitsThroughAChangeOfLeader has a leader step down and the next one take over half a second later. The request must not fail in between.
func TestRequestWaitsThroughAChangeOfLeader(t *testing.T) {
	a, b := newReplica(t), newReplica(t)
	a.leads.Store(true)
	g := newGateway(t, a.server.Address(), b.server.Address())
	eventually(t, func() bool { return g.Ready() == nil })
	a.leads.Store(false)
	time.AfterFunc(500*time.Millisecond, func() { b.leads.Store(true) })
	_, err := queryState(g)
	assert.NilError(t, err)
}

// TestLostAnswerLeavesOpenWhetherItRan checks that a request which the leader received but never answered has an unknown verdict.
func TestLostAnswerLeavesOpenWhetherItRan(t *testing.T) {
	r := newReplica(t)
	r.leads.Store(true)
	r.unresponsive.Store(true)
	g := newGateway(t, r.server.Address())
	eventually(t, func() bool { return g.Ready() == nil })
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := g.Do(ctx, &wire.WorkflowRequest{Kind: wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT, Workflow: &wire.Workflow{}})
	assert.Equal(t, verdict.Of(err), verdict.Unknown)
	assert.Equal(t, r.served.Load(), int64(1))
}

// TestRefusalAfterALostAnswerLeavesOpenWhetherItRan guards against telling a caller that nothing of its request ran, by the refusal of a later try, while the first one, whose answer was lost, has run.
func TestRefusalAfterALostAnswerLeavesOpenWhetherItRan(t *testing.T) {
	const (
		submit = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT
		cancel = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_CANCEL
		state  = wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_STATE
	)
	r := newReplica(t)
	r.leads.Store(true)
	g := newGateway(t, r.server.Address())
	for _, c := range []struct {
		kind    wire.WorkflowRequestKind
		answer  wire.WorkflowAnswer
		unknown bool
	}{
		{submit, wire.WorkflowAnswer_WORKFLOW_ANSWER_OK, false},
		{submit, wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_QUEUE, true},
		{submit, wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID, true},
		{submit, wire.WorkflowAnswer_WORKFLOW_ANSWER_UNKNOWN_KEY, true},
		{submit, wire.WorkflowAnswer_WORKFLOW_ANSWER_OVER_SHARE, true},
		{cancel, wire.WorkflowAnswer_WORKFLOW_ANSWER_OK, false},
		{cancel, wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_QUEUE, true},
		{cancel, wire.WorkflowAnswer_WORKFLOW_ANSWER_UNKNOWN_KEY, true},
		{cancel, wire.WorkflowAnswer_WORKFLOW_ANSWER_OTHER_WORKSPACE, true},
		{cancel, wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW, false},
		{state, wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_QUEUE, false},
	} {
		r.answer.Store(int32(c.answer))
		for _, lost := range []bool{false, true} {
			eventually(t, func() bool { return g.Ready() == nil })
			r.lost.Store(0)
			if lost {
				r.lost.Store(1)
			}
			reply, err := g.Do(t.Context(), &wire.WorkflowRequest{Kind: c.kind})
			assert.Equal(t, r.resent.Load(), lost, "%v, %v", c.kind, c.answer)
			if lost && c.unknown {
				assert.Equal(t, verdict.Of(err), verdict.Unknown, "%v, %v", c.kind, c.answer)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, reply.GetAnswer(), c.answer)
		}
	}
}
