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

const activationLimit = 3 * time.Second

// TestChangesAreInForceEverywhere commits changes, stops the leader half-way and checks that each change becomes active at nine entries in time and in order.
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
			delays = append(delays, waitActive(t, followers, version))
		}
		sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
		t.Logf("active at all entries after: median %v, longest %v", delays[len(delays)/2], delays[len(delays)-1])
		assert.Assert(t, delays[len(delays)/2] < 100*time.Millisecond)
		for _, f := range followers {
			assert.Assert(t, sort.SliceIsSorted(f.applied, func(i, j int) bool { return f.applied[i] < f.applied[j] }))
		}
	})
}

// waitActive returns how long it took until a version was active at all followers, and fails the test after activationLimit.
func waitActive(t *testing.T, followers []*follower, version uint64) time.Duration {
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
		if time.Since(start) > activationLimit {
			t.Fatalf("version %d is still not active at %d entries after %v", version, behind, activationLimit)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCutOffLeaderAcceptsNothing partitions the leader from the other replicas for ten minutes while one entry can still reach it.
// The old leader must not accept changes or grant leases, and its return must not force an election.
func TestCutOffLeaderAcceptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.close()
		majorityClient := g.client("e0")
		majorityClient.mustChange(t, putClass(0))
		before := majorityClient.status(t)
		host := fmt.Sprintf("c%d", before.Leader)
		isolatedClient := g.client("e1", before.Leader)
		g.isolate(host)
		majorityClient.mustChange(t, putClass(1))

		for i := range 20 {
			_, err := isolatedClient.change(t, putClass(100+i))
			assert.Assert(t, err != nil, "the partitioned leader accepted a change or answered a read")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err = isolatedClient.Report(ctx, &wire.ReportBatch{Entry: "e1", Reports: []*wire.WorkerReport{reportOf("w1", "cebu", uint64(i+1))}})
			cancel()
			assert.Assert(t, err != nil, "the partitioned leader granted a lease")
			time.Sleep(30 * time.Second)
		}
		during := majorityClient.status(t)
		g.reconnect(host)
		time.Sleep(10 * time.Second)
		after := majorityClient.status(t)
		assert.Equal(t, after.Term, during.Term, "the return of the replica caused an election")
		assert.Equal(t, after.Leader, during.Leader)
		assert.Equal(t, len(after.Configuration.Classes), 2)
	})
}

// TestReadNeverComesFromADeposedLeader reads from a leader right after it is partitioned, before it can have noticed.
func TestReadNeverComesFromADeposedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.close()
		majorityClient := g.client("e0")
		majorityClient.mustChange(t, putClass(0))
		leader := majorityClient.status(t).Leader
		isolatedClient := g.client("e1", leader)
		g.isolate(fmt.Sprintf("c%d", leader))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := isolatedClient.Read(ctx, &wire.ReadRequest{Kind: wire.ReadKind_READ_KIND_STATUS})
		assert.Assert(t, err != nil)
		assert.Assert(t, verdict.Of(err) != verdict.Ran)
	})
}

// TestSecondDiskLostRightAfterRepair loses one disk and, as soon as that replica has recovered, the next one. No accepted change may be lost.
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

// waitReady waits until a replica that lost its disk has recovered.
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
