package control_test

import (
	"context"
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/verdict"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

const inForceWithin = 3 * time.Second

// TestChangesAreInForceEverywhere makes changes while a leader stops, and follows them at nine entries.
func TestChangesAreInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.close()
		var followers []*follower
		for i := range 9 {
			f := g.follow(fmt.Sprintf("e%d", i), domains[i%3])
			defer f.Close()
			followers = append(followers, f)
		}
		operator := g.client("e0")
		var delays []time.Duration
		for i := range 40 {
			if i == 20 {
				g.stop(operator.status(t).Leader)
			}
			version := operator.mustChange(t, putClass(i))
			delays = append(delays, waitInForce(t, followers, version))
		}
		sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
		t.Logf("in force everywhere after: median %v, longest %v", delays[len(delays)/2], delays[len(delays)-1])
		assert.Assert(t, delays[len(delays)/2] < 100*time.Millisecond)
		for _, f := range followers {
			assert.Assert(t, sort.SliceIsSorted(f.applied, func(i, j int) bool { return f.applied[i] < f.applied[j] }))
		}
	})
}

// waitInForce returns how long a version took to be in force at all followers, and fails past the promise.
func waitInForce(t *testing.T, followers []*follower, version uint64) time.Duration {
	start := time.Now()
	for {
		behind := 0
		for _, f := range followers {
			if f.Version() < version {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(start)
		}
		if time.Since(start) > inForceWithin {
			t.Fatalf("version %d is not in force at %d entries after %v", version, behind, inForceWithin)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCutOffLeaderAcceptsNothing cuts the leader from the others but not from an entry beside it, for ten minutes.
func TestCutOffLeaderAcceptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.close()
		far := g.client("e0")
		far.mustChange(t, putClass(0))
		before := far.status(t)
		host := fmt.Sprintf("c%d", before.Leader)
		near := g.client("e1", before.Leader)
		g.isolate(host)
		far.mustChange(t, putClass(1))

		for i := range 20 {
			_, err := near.change(t, putClass(100+i))
			assert.Assert(t, err != nil, "the cut-off leader accepted a change or answered a read")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err = near.Report(ctx, &wire.ReportBatch{Entry: "e1", Reports: []*wire.WorkerReport{reportOf("w1", "cebu", uint64(i+1))}})
			cancel()
			assert.Assert(t, err != nil, "the cut-off leader granted a lease")
			time.Sleep(30 * time.Second)
		}
		during := far.status(t)
		g.rejoin(host)
		time.Sleep(10 * time.Second)
		after := far.status(t)
		assert.Equal(t, after.Term, during.Term, "the return of the replica disturbed the others")
		assert.Equal(t, after.Leader, during.Leader)
		assert.Equal(t, len(after.Configuration.Classes), 2)
	})
}

// TestReadNeverComesFromADeposedLeader reads through a cut-off leader at once, before it can know of the cut.
func TestReadNeverComesFromADeposedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.close()
		far := g.client("e0")
		far.mustChange(t, putClass(0))
		leader := far.status(t).Leader
		near := g.client("e1", leader)
		g.isolate(fmt.Sprintf("c%d", leader))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := near.Read(ctx, &wire.ReadRequest{Kind: wire.ReadKind_READ_KIND_STATUS})
		assert.Assert(t, err != nil)
		assert.Assert(t, verdict.Of(err) != verdict.Ran)
	})
}

// TestSecondDiskLostRightAfterRepair loses one disk and, as soon as that replica is back, another.
func TestSecondDiskLostRightAfterRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.close()
		operator := g.client("e0")
		changes := 0
		for _, id := range []uint64{1, 2, 3, 1} {
			for range 30 {
				operator.mustChange(t, putClass(changes))
				changes++
			}
			g.loseDisk(id)
			assert.NilError(t, waitReady(g, id))
			assert.Equal(t, len(operator.status(t).Configuration.Classes), changes)
		}
	})
}

// waitReady waits until a replica that lost its disk is a full member again.
func waitReady(g *group, id uint64) error {
	var err error
	for range 600 {
		time.Sleep(100 * time.Millisecond)
		if err = g.controls[id].Ready(); err == nil {
			return nil
		}
	}
	return err
}
