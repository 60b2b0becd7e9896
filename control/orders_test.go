package control_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/control"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

func queueSet(version uint64) *wire.QueueSet {
	return &wire.QueueSet{Version: version, Queues: []*wire.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 1}}}
}

// leaderAndFollower returns a group's leader and one other process.
func (g *group) leaderAndFollower() (leader, follower *control.Control, leaderID, followerID uint64) {
	for id, c := range g.controls {
		if reply, err := c.ForwardOrder(g.t.Context(), &wire.ForwardedOrder{}); err == nil && reply.GetTicket() != nil {
			leader, leaderID = c, id
		} else {
			follower, followerID = c, id
		}
	}
	assert.Assert(g.t, leader != nil, "no process leads")
	return leader, follower, leaderID, followerID
}

func runOnGroup(t *testing.T, test func(*testing.T, *group)) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.close()
		time.Sleep(3 * time.Second)
		test(t, g)
	})
}

// TestEveryProcessCarriesOrdersOut checks that an operator needs one answer, whichever process it asks.
func TestEveryProcessCarriesOrdersOut(t *testing.T) {
	runOnGroup(t, func(t *testing.T, g *group) {
		version := uint64(0)
		for _, c := range g.controls {
			version++
			assert.NilError(t, c.PutQueues(t.Context(), queueSet(version)))
			for _, other := range g.controls {
				queues, err := other.Queues(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, queues.GetVersion(), version)
			}
			assert.NilError(t, c.SetDomainOut(t.Context(), "cebu", true))
			assert.NilError(t, c.SetDomainOut(t.Context(), "cebu", false))
			assert.NilError(t, c.StartWave(t.Context(), &wire.Wave{Number: int64(version), Machines: []string{"m"}, AtOnce: 1}))
			done, known, err := c.WaveDone(t.Context(), int64(version))
			assert.NilError(t, err)
			assert.Assert(t, known && !done)
		}
	})
}

// TestOrderOutlivesTheLeader checks that an order at a follower is answered within an operator's patience although the leader falls silent just then.
func TestOrderOutlivesTheLeader(t *testing.T) {
	runOnGroup(t, func(t *testing.T, g *group) {
		_, follower, leaderID, _ := g.leaderAndFollower()
		g.isolate(g.replicas[leaderID-1].Inner[:2])
		began := time.Now()
		queues, err := follower.Queues(t.Context())
		for ; err != nil && time.Since(began) < 3*time.Second; queues, err = follower.Queues(t.Context()) {
			assert.Assert(t, queues == nil)
		}
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) < 1600*time.Millisecond, "two requests of an operator were not enough: %v", time.Since(began))
	})
}

// TestPausedProcessForwardsNoOrder guards against an order that was read after a pause and undoes a later one that the operator has sent elsewhere meanwhile.
func TestPausedProcessForwardsNoOrder(t *testing.T) {
	runOnGroup(t, func(t *testing.T, g *group) {
		_, follower, leaderID, followerID := g.leaderAndFollower()
		assert.NilError(t, follower.SetDomainOut(t.Context(), "cebu", true))
		g.paused[followerID].Add(int64(5 * time.Second))
		err := follower.SetDomainOut(t.Context(), "cebu", false)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		var notLeader *control.NotLeader
		assert.Assert(t, errors.As(err, &notLeader))
		assert.Equal(t, notLeader.Leader, g.replicas[leaderID-1].Inner, "the operator is not told who leads")
		time.Sleep(2 * time.Second)
		assert.NilError(t, follower.SetDomainOut(t.Context(), "cebu", false))
	})
}

// TestOutdatedTicketIsRefused covers a pause between the look for pauses and the sending of an order.
func TestOutdatedTicketIsRefused(t *testing.T) {
	runOnGroup(t, func(t *testing.T, g *group) {
		leader, _, _, _ := g.leaderAndFollower()
		reply, err := leader.ForwardOrder(t.Context(), &wire.ForwardedOrder{})
		assert.NilError(t, err)
		order := &wire.ForwardedOrder{Ticket: reply.GetTicket(), Domain: &wire.DomainOut{Domain: "cebu", Out: true}}
		reply, err = leader.ForwardOrder(t.Context(), order)
		assert.NilError(t, err)
		assert.Assert(t, reply.GetFailure() == nil)
		time.Sleep(1100 * time.Millisecond)
		for _, ticket := range []*wire.OrderTicket{order.GetTicket(), nil, {Term: order.GetTicket().GetTerm() - 1, IssuedMs: order.GetTicket().GetIssuedMs() + 1100}} {
			reply, err = leader.ForwardOrder(t.Context(), &wire.ForwardedOrder{Ticket: ticket, Domain: order.GetDomain()})
			assert.NilError(t, err)
			assert.Equal(t, reply.GetFailure().GetVerdict(), wire.Verdict_VERDICT_NOT_RUN, "%v", ticket)
		}
	})
}

// TestOrderWithoutLeaderIsRefusedInTime checks that an operator is told within its patience that nothing has run.
func TestOrderWithoutLeaderIsRefusedInTime(t *testing.T) {
	runOnGroup(t, func(t *testing.T, g *group) {
		_, follower, _, followerID := g.leaderAndFollower()
		g.isolate(g.replicas[followerID-1].Inner[:2])
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		began := time.Now()
		err := follower.PutQueues(ctx, queueSet(9))
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
	})
}
