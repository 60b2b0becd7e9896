package system_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"daisyswitch/inner"
	"daisyswitch/operator"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"
)

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "daisyswitch")
	if err != nil {
		panic(err)
	}
	bin = filepath.Join(dir, "daisyswitch")
	if out, err := exec.Command("go", "build", "-o", bin, "daisyswitch/cmd/daisyswitch").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func startCluster(t *testing.T, entries int) *cluster {
	c, err := newCluster(options{Bin: bin, Dir: t.TempDir(), Entries: entries})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, c.Close()) })
	assert.NilError(t, c.Start())
	return c
}

// testOperator is an operator that submits numbered changes, each of one class, and resends a change under the same number until it is answered.
type testOperator struct {
	t        *testing.T
	client   *operator.Client
	sequence uint64
	base     uint64   // base version of the first change
	accepted []uint64 // version by sequence, from 1
}

func newTestOperator(t *testing.T, c *cluster) *testOperator {
	return &testOperator{t: t, base: 1, client: &operator.Client{Entries: c.Operators(), Operator: "ana", HTTP: &http.Client{}}}
}

func (a *testOperator) change() {
	a.sequence++
	result := a.send(a.sequence)
	assert.Equal(a.t, result.Outcome, operator.OutcomeAccepted, result.Reason)
	a.accepted = append(a.accepted, result.Version)
}

// send sends the change with the given number; its content depends on the number alone.
func (a *testOperator) send(sequence uint64) *operator.Result {
	base := a.base
	if sequence > 1 {
		base = a.accepted[sequence-2]
	}
	class := operator.Class{Kind: operator.KindService, TargetP99US: 50_000}
	path := fmt.Sprintf("/v1/classes/class-%d", sequence)
	number := operator.ChangeNumber{Sequence: sequence, BaseVersion: base}
	for range 60 {
		result, err := a.client.Change(a.t.Context(), http.MethodPut, path, number, class)
		if err == nil {
			return result
		}
		time.Sleep(100 * time.Millisecond)
	}
	a.t.Fatalf("change %d was not answered in 60 attempts", sequence)
	return nil
}

func (a *testOperator) status() *operator.Status {
	var s operator.Status
	for range 60 {
		if a.client.Get(a.t.Context(), "/v1/status", &s) == nil {
			return &s
		}
		time.Sleep(100 * time.Millisecond)
	}
	a.t.Fatal("the status request was not answered in 60 attempts")
	return nil
}

// TestAllControlKilled kills all control processes between changes, twice, and the leader alone once. No accepted change may be lost.
func TestAllControlKilled(t *testing.T) {
	c := startCluster(t, 2)
	a := newTestOperator(t, c)
	for round := range 3 {
		for range 20 {
			a.change()
		}
		killed := c.Controls
		if round == 1 {
			killed = c.Controls[a.status().Leader-1 : a.status().Leader]
		}
		for _, p := range killed {
			assert.NilError(t, p.Kill())
		}
		for _, p := range killed {
			assert.NilError(t, p.Start())
		}
	}
	status := a.status()
	assert.Equal(t, len(status.Configuration.Classes), len(a.accepted))
	for i, version := range a.accepted {
		again := a.send(uint64(i + 1))
		assert.Equal(t, again.Outcome, operator.OutcomeAccepted)
		assert.Equal(t, again.Version, version, "a resent change got another version than the first time")
	}
}

// TestFrozenLeaderAnswersNothingStale freezes the leader until another one is elected. Requests sent to it while frozen must not get a stale read or a lease once it thaws.
func TestFrozenLeaderAnswersNothingStale(t *testing.T) {
	c := startCluster(t, 1)
	a := newTestOperator(t, c)
	old := a.status().Leader
	frozen := c.Controls[old-1]
	address := c.Replicas[old-1].Inner
	pool := inner.New(inner.Options{})
	defer pool.Close()
	sent := make(chan staleReply, 40)
	assert.Assert(t, sendReport(pool, address, 1).leaseMS > 0)
	a.base = a.status().Configuration.Version // the report added the worker's domain
	a.change()
	assert.NilError(t, frozen.Freeze())
	for i := range cap(sent) / 2 {
		go func() { sent <- readStatus(pool, address) }()
		go func() { sent <- sendReport(pool, address, uint64(i+2)) }()
	}
	a.change()
	assert.Assert(t, a.status().Leader != old)
	assert.NilError(t, frozen.Thaw())
	for range cap(sent) {
		s := <-sent
		assert.Assert(t, !s.read || s.version == a.accepted[1], "the deposed leader read version %d, accepted is %d", s.version, a.accepted[1])
		assert.Equal(t, s.leaseMS, int64(0), "the deposed leader granted a lease")
	}
}

type staleReply struct {
	read    bool
	version uint64
	leaseMS int64
}

const replyTimeout = 20 * time.Second // longest wait for the reply of a frozen process

func readStatus(pool *inner.Pool, address string) staleReply {
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	var s staleReply
	_ = pool.Do(ctx, address, func(conn *drpcconn.Conn) error {
		reply, err := wire.NewDRPCControlClient(conn).Read(ctx, &wire.ReadRequest{Kind: wire.ReadKind_READ_KIND_STATUS})
		if reply.GetStatus() != nil {
			s = staleReply{read: true, version: reply.Status.Configuration.Version}
		}
		return err
	})
	return s
}

func sendReport(pool *inner.Pool, address string, sequence uint64) staleReply {
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	report := &wire.WorkerReport{
		Worker:   &wire.WorkerRecord{Name: "w1", Domain: "domain-1", Rack: "r", Incarnation: "i", Capacity: &wire.Size{MilliCpu: 1000, MemoryMib: 1000}},
		Sequence: sequence,
	}
	var s staleReply
	_ = pool.Do(ctx, address, func(conn *drpcconn.Conn) error {
		reply, err := wire.NewDRPCControlClient(conn).Report(ctx, &wire.ReportBatch{Entry: "e", Reports: []*wire.WorkerReport{report}})
		for _, r := range reply.GetReplies() {
			s.leaseMS = r.LeaseMs
		}
		return err
	})
	return s
}

// TestEntryCatchesUpAfterHundredsOfChanges restarts an entry and a replica that missed hundreds of changes.
func TestEntryCatchesUpAfterHundredsOfChanges(t *testing.T) {
	c := startCluster(t, 2)
	a := newTestOperator(t, c)
	a.change()
	assert.NilError(t, c.Entries[1].Kill())
	follower := c.Controls[a.status().Leader%3]
	assert.NilError(t, follower.Kill())
	for range 300 {
		a.change()
	}
	assert.NilError(t, follower.Start())
	assert.NilError(t, follower.WaitReady())
	assert.NilError(t, c.Entries[1].Start())
	assert.NilError(t, c.Entries[1].WaitReady())
	waitActive(t, c, a.accepted[len(a.accepted)-1])
}

// waitActive waits until a version is active at the second entry, and fails if the active version there ever decreases.
func waitActive(t *testing.T, c *cluster, version uint64) {
	entry := operator.Client{Entries: c.Operators()[1:2], HTTP: &http.Client{}}
	for last := uint64(0); last < version; time.Sleep(10 * time.Millisecond) {
		var local operator.Configuration
		assert.NilError(t, entry.Get(t.Context(), "/v1/configuration?local=true", &local))
		assert.Assert(t, local.Version >= last, "version %d after %d", local.Version, last)
		last = local.Version
	}
}

// TestFrozenEntryCatchesUp makes changes and replaces the leader while an entry is frozen.
func TestFrozenEntryCatchesUp(t *testing.T) {
	c := startCluster(t, 2)
	a := newTestOperator(t, c)
	a.client.Entries = c.Operators()[:1]
	a.change()
	waitActive(t, c, a.accepted[0])
	assert.NilError(t, c.Entries[1].Freeze())
	for range 50 {
		a.change()
	}
	leader := c.Controls[a.status().Leader-1]
	assert.NilError(t, leader.Kill())
	for range 50 {
		a.change()
	}
	assert.NilError(t, c.Entries[1].Thaw())
	waitActive(t, c, a.accepted[len(a.accepted)-1])
}

// localVersion returns the version of the configuration that an entry holds.
func localVersion(t *testing.T, c *cluster, entry int) uint64 {
	var local operator.Configuration
	client := operator.Client{Entries: c.Operators()[entry : entry+1], HTTP: &http.Client{}}
	assert.NilError(t, client.Get(t.Context(), "/v1/configuration?local=true", &local))
	return local.Version
}

// TestEntryRestartsWithoutControl starts an entry while all control processes are down: it gets the active configuration from its neighbor.
func TestEntryRestartsWithoutControl(t *testing.T) {
	const effectiveTime = 3 * time.Second // in which an accepted change is effective everywhere
	c := startCluster(t, 2)
	a := newTestOperator(t, c)
	a.change()
	a.change()
	for accepted := time.Now(); localVersion(t, c, 0) != a.accepted[1]; time.Sleep(pollInterval) {
		assert.Assert(t, time.Since(accepted) < effectiveTime, "the neighbor does not have the change that was accepted")
	}
	for _, p := range append(c.Controls, c.Entries[1]) {
		assert.NilError(t, p.Kill())
	}
	assert.NilError(t, c.Entries[1].Start())
	assert.NilError(t, c.Entries[1].WaitReady())
	assert.Equal(t, localVersion(t, c, 1), a.accepted[1])
}

// TestGracefulStopExitsWithZero stops every process and expects exit code 0.
func TestGracefulStopExitsWithZero(t *testing.T) {
	c := startCluster(t, 1)
	newTestOperator(t, c).change()
	for _, p := range []*process{c.Entries[0], c.Controls[0], c.Controls[1], c.Controls[2]} {
		assert.NilError(t, p.Stop(), p.Name)
	}
}
