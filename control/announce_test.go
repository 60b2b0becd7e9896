package control_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"daisyswitch/control"
	"daisyswitch/descriptor"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

// smallShares suffice for one worker that the leader calls itself, and for three that announce themselves at each process.
var smallShares = descriptor.Shares{Calls: 5, Announcements: 3, Links: 10}

func workerOf(number int, leaving bool) *wire.CalledWorker {
	return &wire.CalledWorker{Id: fmt.Sprintf("w%d", number), Born: 5, Address: fmt.Sprintf("w%d:1", number), Pool: "p", Domain: domains[number%3], Capacity: &wire.Size{MilliCpu: 1}, Leaving: leaving}
}

// TestFollowerRedirectsWhereThereAreFewWorkers guards against a change of what earlier deployments see.
func TestFollowerRedirectsWhereThereAreFewWorkers(t *testing.T) {
	runOnGroupWithShares(t, smallShares, func(g *calledGroup) {
		g.putPool("p")
		_, follower, leaderID, _ := g.leaderAndFollower()
		for sequence := range int64(2) {
			_, err := follower.ReceiveAnnouncement(g.t.Context(), workerOf(0, false), sequence)
			var notLeader *control.NotLeader
			assert.Assert(g.t, errors.As(err, &notLeader))
			assert.Equal(g.t, notLeader.Leader, g.replicas[leaderID-1].Inner)
			next, err := g.leader.ReceiveAnnouncement(g.t.Context(), workerOf(0, false), sequence)
			assert.NilError(g.t, err)
			assert.Equal(g.t, next, "")
		}
	})
}

// TestFollowersTakeAnnouncementsOfManyWorkers guards against a leader that has a connection to every worker for announcements, and against an acknowledgement of what is not committed.
func TestFollowersTakeAnnouncementsOfManyWorkers(t *testing.T) {
	runOnGroupWithShares(t, smallShares, func(g *calledGroup) {
		g.putPool("p")
		_, follower, leaderID, followerID := g.leaderAndFollower()
		for i := range 3 {
			_, err := g.leader.ReceiveAnnouncement(g.t.Context(), workerOf(i, false), 1)
			assert.NilError(g.t, err)
		}
		time.Sleep(time.Second)
		elsewhere := 0
		for i := range 3 {
			next, err := g.leader.ReceiveAnnouncement(g.t.Context(), workerOf(i, false), 2)
			assert.NilError(g.t, err)
			if next != "" {
				elsewhere++
			}
		}
		assert.Equal(g.t, elsewhere, 2, "workers whose announcements go to other processes")
		next, err := follower.ReceiveAnnouncement(g.t.Context(), workerOf(1, false), 3)
		assert.NilError(g.t, err)
		assert.Equal(g.t, next, "")

		g.isolate(g.replicas[followerID-1].Inner[:2])
		_, err = follower.ReceiveAnnouncement(g.t.Context(), workerOf(1, false), 4)
		assert.NilError(g.t, err, "an announcement that is recorded was not acknowledged")
		began := time.Now()
		for _, w := range []*wire.CalledWorker{workerOf(1, true), workerOf(7, false)} {
			_, err = follower.ReceiveAnnouncement(g.t.Context(), w, 5)
			assert.Assert(g.t, err != nil, "a process that is cut off acknowledged what it could not commit")
		}
		assert.Assert(g.t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
		g.reconnect(g.replicas[followerID-1].Inner[:2])
		time.Sleep(5 * time.Second)

		_, err = follower.ReceiveAnnouncement(g.t.Context(), workerOf(1, true), 6)
		assert.NilError(g.t, err)
		_, err = follower.ReceiveAnnouncement(g.t.Context(), workerOf(1, false), 7)
		assert.NilError(g.t, err)
		assert.NilError(g.t, g.controls[leaderID].Leave(g.t.Context(), "w1", 0)) // counts only for a worker that is known to be leaving
		_, err = follower.ReceiveAnnouncement(g.t.Context(), workerOf(1, false), 5)
		assert.NilError(g.t, err)
		time.Sleep(3 * time.Second)
		g.takeAsked()
		time.Sleep(3 * time.Second)
		asked := g.takeAsked()
		assert.Assert(g.t, asked["w0 at w0:1"] > 0, "no worker was called: %v", asked)
		assert.Equal(g.t, asked["w1 at w1:1"], 0, "an older announcement restored a worker that has left")
	})
}

// TestFollowerTakesAnnouncementsAtAStartWithManyWorkers guards against a start at which all workers are sent to the leader, since none is recorded yet, and take all connections that it accepts.
func TestFollowerTakesAnnouncementsAtAStartWithManyWorkers(t *testing.T) {
	runOnGroupWithShares(t, smallShares, func(g *calledGroup) {
		g.putPool("p")
		_, follower, _, _ := g.leaderAndFollower()
		_, err := follower.ReceiveAnnouncement(g.t.Context(), workerOf(0, false), 1)
		assert.Equal(g.t, verdict.Of(err), verdict.NotRun)
		_, err = follower.ReceiveAnnouncement(g.t.Context(), workerOf(1, false), 1)
		assert.NilError(g.t, err)
	})
}

// TestPausedFollowerAcknowledgesNoAnnouncement guards against an announcement that a process reads after it was frozen, when its sender has announced itself elsewhere or is gone.
func TestPausedFollowerAcknowledgesNoAnnouncement(t *testing.T) {
	runOnGroupWithShares(t, smallShares, func(g *calledGroup) {
		g.putPool("p")
		_, follower, _, followerID := g.leaderAndFollower()
		for i := range 3 {
			_, err := g.leader.ReceiveAnnouncement(g.t.Context(), workerOf(i, false), 1)
			assert.NilError(g.t, err)
		}
		time.Sleep(time.Second)
		g.paused[followerID].Add(int64(2 * time.Second))
		_, err := follower.ReceiveAnnouncement(g.t.Context(), workerOf(2, false), 2)
		assert.Equal(g.t, verdict.Of(err), verdict.NotRun)
		time.Sleep(3 * time.Second)
		_, err = follower.ReceiveAnnouncement(g.t.Context(), workerOf(2, false), 3)
		assert.NilError(g.t, err)
	})
}

// TestOverloadedFollowerSendsWorkersElsewhere guards against one process at which all workers announce themselves, as when they all ask the same one first.
func TestOverloadedFollowerSendsWorkersElsewhere(t *testing.T) {
	runOnGroupWithShares(t, smallShares, func(g *calledGroup) {
		g.putPool("p")
		_, follower, _, _ := g.leaderAndFollower()
		const workers = 9
		for i := range workers {
			_, err := g.leader.ReceiveAnnouncement(g.t.Context(), workerOf(i, false), 1)
			assert.NilError(g.t, err)
		}
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		var mu sync.Mutex
		stayed := 0
		for i := range workers {
			wg.Go(func() {
				next, err := follower.ReceiveAnnouncement(g.t.Context(), workerOf(i, false), 2)
				assert.Check(g.t, err)
				mu.Lock()
				defer mu.Unlock()
				if next == "" {
					stayed++
				}
			})
		}
		wg.Wait()
		// Three are acknowledged here, and of the eight that the leader does not call itself it places four here.
		assert.Assert(g.t, stayed <= 7, "%d of %d workers stay with a process for 3", stayed, workers)
	})
}
