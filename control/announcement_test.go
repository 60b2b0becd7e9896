package control_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/call"
	"daisyswitch/control"
	"daisyswitch/descriptor"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

// calledGroup is a group whose leader has workers, with the holds that these were sent.
type calledGroup struct {
	*group
	leader *control.Control

	mu    sync.Mutex
	asked map[string]int // holds by id and address
}

func runOnCalledGroup(t *testing.T, test func(*calledGroup)) {
	runOnGroupWithShares(t, descriptor.Shares{}, test)
}

func runOnGroupWithShares(t *testing.T, shares descriptor.Shares, test func(*calledGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := &calledGroup{asked: map[string]int{}}
		began := time.Now()
		hold := func(_ context.Context, w *wire.CalledWorker, h *call.Hold) (*call.Listing, error) {
			g.mu.Lock()
			g.asked[w.GetId()+" at "+w.GetAddress()]++
			g.mu.Unlock()
			time.Sleep(max(h.Wait, time.Millisecond))
			return &call.Listing{Answer: call.Answer{ClockMS: time.Since(began).Milliseconds() + 1}}, nil
		}
		start := func(ctx context.Context, _ *wire.CalledWorker, _ *call.Start) (*call.Answer, error) {
			<-ctx.Done() // the worker never answers, so that the run stays committed
			return nil, ctx.Err()
		}
		g.group = newGroupCalling(t, &control.Called{Calls: call.Functions{Hold: hold, Start: start}, Lease: 4 * time.Second, LongestLease: 6 * time.Second, Shares: shares})
		defer g.close()
		time.Sleep(3 * time.Second)
		g.leader, _, _, _ = g.leaderAndFollower()
		test(g)
	})
}

func (g *calledGroup) putPool(pool string) {
	queues := &wire.QueueSet{Version: 1, Queues: []*wire.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: pool, MaxAttempts: 1}}}
	assert.NilError(g.t, g.leader.PutQueues(g.t.Context(), queues))
}

func (g *calledGroup) announce(id, pool, address string, born, sequence int64, leaving bool) {
	w := &wire.CalledWorker{Id: id, Born: born, Address: address, Pool: pool, Domain: "d", Capacity: &wire.Size{MilliCpu: 1}, Leaving: leaving}
	assert.NilError(g.t, g.leader.Announce(g.t.Context(), w, sequence))
	time.Sleep(3 * time.Second)
}

// takeAsked returns the workers that were called since the last look.
func (g *calledGroup) takeAsked() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	asked := g.asked
	g.asked = map[string]int{}
	return asked
}

// TestAnnouncementOfAnUnknownPoolIsLeftOut guards against an announcement of another writer, with a pool that no queue uses, that is taken for a worker or shuts out the worker whose id it has.
func TestAnnouncementOfAnUnknownPoolIsLeftOut(t *testing.T) {
	runOnCalledGroup(t, func(g *calledGroup) {
		g.announce("early", "p", "e:1", 5, 1, false)
		g.putPool("p")
		g.announce("w", "p", "w:1", 5, 1, false)
		g.announce("foreign", "other", "f:1", 9, 1, false)
		g.announce("w", "other", "f:2", 9, 7, false)
		g.announce("w", "p", "w:2", 5, 2, false)
		asked := g.takeAsked()
		for _, wanted := range []string{"early at e:1", "w at w:1", "w at w:2"} {
			assert.Assert(g.t, asked[wanted] > 0, "%s was never called: %v", wanted, asked)
			delete(asked, wanted)
		}
		assert.Equal(g.t, len(asked), 0, "called: %v", asked)
	})
}

// TestWorkerOfAnOpenWorkflowIsCalledWithoutItsQueue guards against accepted workflows whose tasks wait for ever beside workers that announce themselves, since a configuration dropped their queue, and only until they end or their place has another pool.
func TestWorkerOfAnOpenWorkflowIsCalledWithoutItsQueue(t *testing.T) {
	runOnCalledGroup(t, func(g *calledGroup) {
		put := func(version uint64, queues ...*wire.Queue) {
			assert.NilError(g.t, g.leader.PutQueues(g.t.Context(), &wire.QueueSet{Version: version, Queues: queues}))
		}
		kept, dropped := queueAt("/kept/", "p"), queueAt("/dropped/", "side")
		put(1, kept, dropped)
		_, _, leaderID, _ := g.leaderAndFollower()
		c := g.callers(g.replicas[leaderID-1].Inner)
		w := &wire.Workflow{Payload: "p", Steps: []*wire.Step{{Count: 1, Size: &wire.Size{MilliCpu: 1}, Lasting: true}}}
		assert.Equal(g.t, c.do(wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT, "/dropped/5c0e", w).GetAnswer(), wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
		put(2, kept)
		g.announce("first", "side", "s:1", 5, 1, false)
		g.announce("foreign", "other", "f:1", 5, 1, false)
		put(3, kept)
		g.announce("second", "side", "s:2", 5, 1, false)
		asked := g.takeAsked()
		assert.Assert(g.t, asked["first at s:1"] > 0 && asked["second at s:2"] > 0, "called: %v", asked)
		assert.Equal(g.t, asked["foreign at f:1"], 0)
		put(4, kept, queueAt("/dropped/", "p"))
		g.announce("third", "side", "s:3", 5, 1, false)
		assert.Equal(g.t, g.takeAsked()["third at s:3"], 0, "nothing may start in its pool any more")
	})
}

func queueAt(prefix, pool string) *wire.Queue {
	return &wire.Queue{Name: prefix, Host: "h", PathPrefix: prefix, Pool: pool, MaxAttempts: 1}
}

// TestLateDepartureOfAnEarlierIncarnationEndsNoWorker guards against a departure that arrives after its sender has started again under its id, and ends the later incarnation in its place.
func TestLateDepartureOfAnEarlierIncarnationEndsNoWorker(t *testing.T) {
	runOnCalledGroup(t, func(g *calledGroup) {
		g.putPool("p")
		g.announce("w", "p", "w:1", 5, 1, true)
		g.announce("w", "p", "w:1", 9, 1, false)
		assert.NilError(g.t, g.leader.Leave(g.t.Context(), "w", 0))
		g.takeAsked()
		time.Sleep(3 * time.Second)
		assert.Assert(g.t, g.takeAsked()["w at w:1"] > 0, "the later incarnation counts as gone")
		g.announce("w", "p", "w:1", 9, 2, true)
		assert.NilError(g.t, g.leader.Leave(g.t.Context(), "w", 0))
		time.Sleep(3 * time.Second)
		g.takeAsked()
		time.Sleep(3 * time.Second)
		assert.Equal(g.t, len(g.takeAsked()), 0, "a worker that has left is still called")
	})
}
