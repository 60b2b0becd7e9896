package replica_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/disk"
	"daisyswitch/replica"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// group is a group of replicas over in-memory connections, which can be isolated, silently dropped or slowed down.
type group struct {
	t              *testing.T
	size           int
	mu             sync.Mutex
	members        map[string]*member
	isolated       map[string]bool // by member name; its dials fail and its connections discard all bytes
	conns          []*faultyConn
	disk           disk.Options
	snapshotBytes  uint64        // bytes of records between snapshots, 0 for the default
	bytesPerSecond int           // of each connection, 0 for no limit
	padding        int           // bytes appended to a snapshot by members started from now on
	restoreDelay   time.Duration // duration of a restore in members started from now on
}

type member struct {
	*replica.Replica
	name            string
	id              uint64
	dir             string
	server          *drpcserver.Server
	ctx             context.Context
	kill            context.CancelFunc
	padding         int
	restoreDelay    time.Duration // duration of a restore
	applyDelay      atomic.Int64  // nanoseconds per record
	notifiedLeading atomic.Bool   // last value given to the leadership callback
	applied         []string
	mu              sync.Mutex
}

func newGroup(t *testing.T, size int) *group {
	g := &group{t: t, size: size, members: map[string]*member{}, isolated: map[string]bool{}}
	for id := 1; id <= size; id++ {
		g.start(uint64(id), t.TempDir())
	}
	return g
}

func address(id uint64) string { return fmt.Sprint("replica-", id) }

func (g *group) start(id uint64, dir string) *member {
	m := &member{name: address(id), id: id, dir: dir, padding: g.padding, restoreDelay: g.restoreDelay}
	peers := map[uint64]string{}
	for other := 1; other <= g.size; other++ {
		peers[uint64(other)] = address(uint64(other))
	}
	r, err := replica.New(replica.Options{
		ID: id, Peers: peers, Dir: dir, Seed: 7, SnapshotEvery: 100, SnapshotBytes: g.snapshotBytes, Disk: g.disk,
		Dial:               func(_ context.Context, to string) (net.Conn, error) { return g.dial(m.name, to) },
		Apply:              m.apply,
		Snapshot:           m.snapshot,
		Restore:            m.restore,
		OnLeadershipChange: func(leading bool, _ uint64) { m.notifiedLeading.Store(leading) },
	})
	assert.NilError(g.t, err)
	mux := drpcmux.New()
	assert.NilError(g.t, r.Register(mux))
	m.Replica, m.server = r, drpcserver.New(mux)
	m.ctx, m.kill = context.WithCancel(context.Background())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[m.name] = m
	return m
}

func (m *member) apply(_ uint64, data []byte) any {
	time.Sleep(time.Duration(m.applyDelay.Load()))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = append(m.applied, string(data))
	return len(m.applied)
}

func (m *member) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.applied)
}

func (m *member) snapshot() []byte {
	return append([]byte(fmt.Sprint(m.count(), "\n")), make([]byte, m.padding)...)
}

func (m *member) restore(b []byte) error {
	time.Sleep(m.restoreDelay)
	if len(b) <= m.padding {
		return errors.New("snapshot is truncated")
	}
	var count int
	fmt.Sscanln(string(b), &count)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = make([]string, count)
	return nil
}

func (g *group) dial(from, to string) (net.Conn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[to]
	if m == nil || g.isolated[from] || g.isolated[to] {
		return nil, errors.New("unreachable")
	}
	clientEnd, serverEnd := net.Pipe()
	go m.server.ServeOne(m.ctx, serverEnd)
	conn := &faultyConn{Conn: clientEnd, g: g, from: from, to: to}
	g.conns = append(g.conns, conn)
	return conn, nil
}

// faultyConn discards writes while either end is isolated, and permanently once it is dead.
type faultyConn struct {
	net.Conn
	g        *group
	from, to string
	dead     bool
}

func (c *faultyConn) Write(b []byte) (int, error) {
	c.g.mu.Lock()
	dead, bytesPerSecond := c.dead || c.g.isolated[c.from] || c.g.isolated[c.to], c.g.bytesPerSecond
	c.g.mu.Unlock()
	if dead {
		return len(b), nil
	}
	if bytesPerSecond > 0 {
		time.Sleep(time.Duration(len(b)) * time.Second / time.Duration(bytesPerSecond))
	}
	return c.Conn.Write(b)
}

func (g *group) isolate(m *member, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated[m.name] = isolated
}

func (g *group) dials() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// dropOpenConns makes the open connections dialed by one replica, or all if from is empty, discard all writes permanently. New connections work.
func (g *group) dropOpenConns(from string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range g.conns {
		conn.dead = conn.dead || from == "" || conn.from == from
	}
}

func (g *group) stop(m *member) {
	g.mu.Lock()
	delete(g.members, m.name)
	g.mu.Unlock()
	m.kill()
	m.Close()
}

func (g *group) close() {
	for _, m := range g.members {
		m.kill()
		m.Close()
	}
}

// leader waits in virtual time until a member leads and confirms a read.
func (g *group) leader(within time.Duration) *member {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, m := range g.members {
			if m.IsLeader() && m.confirmsRead() {
				return m
			}
		}
	}
	g.t.Fatalf("no leader within %v", within)
	return nil
}

// confirmsRead reports whether the member confirms a read within a second.
func (m *member) confirmsRead() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return m.ReadBarrier(ctx) == nil
}

func TestElectsAndApplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		leader := g.leader(5 * time.Second)
		for i := range 10 {
			result, err := leader.Propose(t.Context(), []byte(fmt.Sprint(i)))
			assert.NilError(t, err)
			assert.Equal(t, result, i+1)
		}
		time.Sleep(time.Second)
		for _, m := range g.members {
			assert.Equal(t, m.count(), 10, m.name)
			if m != leader {
				_, err := m.Propose(t.Context(), []byte("x"))
				assert.Equal(t, verdict.Of(err), verdict.NotRun)
				assert.Equal(t, replica.LeaderAddress(err), leader.name)
			}
		}
	})
}

func TestNewLeaderServesWithinTwoSecondsOfSilentDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		old := g.leader(5 * time.Second)
		_, err := old.Propose(t.Context(), []byte("kept"))
		assert.NilError(t, err)
		g.isolate(old, true)
		g.stop(old)
		next := g.leader(2 * time.Second)
		result, err := next.Propose(t.Context(), []byte("after"))
		assert.NilError(t, err)
		assert.Equal(t, result, 2)
	})
}

func TestIsolatedLeaderNeitherAcceptsNorConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		old := g.leader(5 * time.Second)
		g.isolate(old, true)
		next := g.leader(2 * time.Second)
		assert.Assert(t, next != old)
		assert.Assert(t, !old.IsLeader())
		_, err := old.Propose(t.Context(), []byte("lost"))
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Assert(t, old.ReadBarrier(t.Context()) != nil)

		time.Sleep(time.Minute)
		term := next.Info().Term
		g.isolate(old, false)
		time.Sleep(time.Minute)
		assert.Assert(t, next.IsLeader(), "the leader was deposed by the replica that reconnected")
		assert.Equal(t, next.Info().Term, term)
		assert.Equal(t, old.Info().Leader, next.id)
	})
}

// propose proposes count records, each through the current leader.
func (g *group) propose(count int) {
	for range count {
		_, err := g.leader(5*time.Second).Propose(context.Background(), []byte("record"))
		assert.NilError(g.t, err)
	}
}

// assertConverged waits five seconds and then asserts that all members have applied count records, none is recovering, and only the leader was notified that it leads.
func (g *group) assertConverged(count int) {
	g.t.Helper()
	time.Sleep(5 * time.Second)
	for _, m := range g.members {
		assert.Equal(g.t, m.count(), count, m.name)
		assert.Assert(g.t, !m.Info().Recovering, m.name)
		assert.Equal(g.t, m.notifiedLeading.Load(), m.IsLeader(), m.name)
	}
}

func TestSecondDiskLostRightAfterTheFirstOnesRepair(t *testing.T) {
	for _, size := range []int{3, 5} {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, size)
			defer g.close()
			g.propose(20)
			for id := uint64(1); id <= uint64(size); id++ {
				g.stop(g.members[address(id)])
				m := g.start(id, t.TempDir())
				for m.Info().Recovering {
					time.Sleep(10 * time.Millisecond)
				}
			}
			g.propose(1)
			g.assertConverged(21)
		})
	}
}

func TestLostDiskDoesNotVoteWithOneOtherLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		g.propose(5)
		g.stop(g.members[address(1)])
		g.stop(g.members[address(2)])
		wiped := g.start(1, t.TempDir())
		time.Sleep(time.Minute)
		assert.Assert(t, wiped.Info().Recovering)
		for _, m := range g.members {
			assert.Equal(t, m.Info().Leader, uint64(0), "a leader was elected with only one intact log left")
		}
	})
}

func TestFollowerLeftBehindCatchesUpBySnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		lagging := g.members[address(1)]
		g.leader(5 * time.Second)
		g.stop(lagging)
		g.propose(450)
		restarted := g.start(1, lagging.dir)
		g.assertConverged(450)
		restarted.mu.Lock()
		defer restarted.mu.Unlock()
		assert.Equal(t, restarted.applied[0], "", "the follower applied records that the snapshot covers")
	})
}

// TestLogOfLargeRecordsIsCut guards against a log that fills the disk with records too few to be cut by their count, also on replicas that start again; a replica that was away catches up.
func TestLogOfLargeRecordsIsCut(t *testing.T) {
	const (
		snapshotBytes = 1 << 20
		segmentBytes  = 256 << 10
		recordBytes   = 64 << 10
		records       = 90                               // fewer than between two snapshots by their count
		maxBytes      = 2*snapshotBytes + 2*segmentBytes // since a snapshot and while it is written, and what segments hold beyond that
	)
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 0)
		defer g.close()
		g.size, g.snapshotBytes, g.disk.SegmentBytes = 3, snapshotBytes, segmentBytes
		for id := uint64(1); id <= 3; id++ {
			g.start(id, t.TempDir())
		}
		record := make([]byte, recordBytes)
		away := g.members[address(1)]
		for i := range records {
			switch i {
			case records / 3:
				g.stop(away)
			case 2 * records / 3:
				away = g.start(away.id, away.dir)
			}
			_, err := g.leader(5*time.Second).Propose(t.Context(), record)
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
			for _, m := range g.members {
				assert.Assert(t, folderBytes(t, m.dir) <= maxBytes, "after %d records %s has %d bytes", i+1, m.name, folderBytes(t, m.dir))
			}
		}
		g.assertConverged(records)
	})
}

func folderBytes(t *testing.T, dir string) (total int64) {
	files, err := os.ReadDir(dir)
	assert.NilError(t, err)
	for _, f := range files {
		info, err := f.Info()
		if errors.Is(err, os.ErrNotExist) {
			continue // removed meanwhile
		}
		assert.NilError(t, err)
		total += info.Size()
	}
	return total
}

func TestSnapshotThatTakesLongArrivesWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		g.padding = 3 << 20
		for id := uint64(1); id <= 3; id++ {
			m := g.members[address(id)]
			g.stop(m)
			g.start(id, m.dir)
		}
		g.leader(5 * time.Second)
		lagging := g.members[address(1)]
		g.stop(lagging)
		g.propose(250)
		g.mu.Lock()
		g.bytesPerSecond = 512 << 10
		g.mu.Unlock()
		g.start(1, lagging.dir)
		time.Sleep(1600 * time.Millisecond) // with the 5 s of assertConverged, long enough for one transfer of the snapshot, which takes about 6 s
		dials := g.dials()
		g.assertConverged(250)
		assert.Equal(t, g.dials(), dials, "working connections were replaced")
	})
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		g.propose(1)
		for range 3 {
			g.dropOpenConns("")
			g.leader(5 * time.Second)
			g.propose(1)
		}
		g.assertConverged(4)
		for _, follower := range g.members {
			g.dropOpenConns(follower.name)
			time.Sleep(10 * time.Second)
			for _, peer := range g.leader(5 * time.Second).Info().Peers {
				assert.Assert(t, peer.Active, "the leader still receives no answers from %s 10 s after its connections were dropped", peer.Address)
			}
		}
	})
}

func TestFrozenLeaderAnswersNothingStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		var frozen atomic.Int64 // id of the replica whose syncs hang, 0 for none
		system := disk.System()
		for id := uint64(1); id <= 3; id++ {
			g.disk.Operations = system
			g.disk.Operations.Sync = func(f *os.File) error {
				if frozen.Load() == int64(id) {
					time.Sleep(time.Minute)
				}
				return system.Sync(f)
			}
			m := g.members[address(id)]
			g.stop(m)
			g.start(id, m.dir)
		}
		g.propose(1)
		old := g.leader(5 * time.Second)
		frozen.Store(int64(old.id))
		stuck := make(chan error, 1)
		go func() {
			_, err := old.Propose(context.Background(), []byte("stuck"))
			stuck <- err
		}()
		time.Sleep(10 * time.Millisecond)
		next := g.leader(5 * time.Second)
		frozen.Store(0)
		assert.Assert(t, next != old)
		assert.Assert(t, !old.IsLeader())
		_, err := old.Propose(t.Context(), []byte("x"))
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Assert(t, old.ReadBarrier(t.Context()) != nil)
		g.propose(1)
		var unknown *verdict.Error
		assert.Assert(t, errors.As(<-stuck, &unknown))
		assert.Equal(t, unknown.Verdict, verdict.Unknown)
		g.assertConverged(3) // the stuck proposal was sent to the other replicas before the leader's sync hung
		assert.Equal(t, old.Info().Leader, g.leader(5*time.Second).id)
	})
}

// TestLeaderThatRegainsItsLeadershipServesNothingStale guards against a replica that loses its leadership and regains it while a record waits to be applied: it answered from the state of its earlier leadership.
func TestLeaderThatRegainsItsLeadershipServesNothingStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		slow := g.leader(5 * time.Second)
		slow.applyDelay.Store(int64(20 * time.Second))
		go slow.Propose(context.Background(), []byte("first"))
		time.Sleep(time.Second)
		g.isolate(slow, true)
		time.Sleep(5 * time.Second)
		other := g.leader(5 * time.Second)
		_, err := other.Propose(context.Background(), []byte("second"))
		assert.NilError(t, err)
		for _, m := range g.members {
			g.isolate(m, m != slow && m != other)
		}
		time.Sleep(time.Second)
		other.TransferLeadership(t.Context())
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, slow.count() == 2 || !slow.IsLeader(), "the replica serves without the record of its predecessor")
		}
		assert.Assert(t, slow.Info().Leader == slow.id && slow.count() < 2, "the replica does not lead with records to apply")
		slow.applyDelay.Store(0)
		time.Sleep(30 * time.Second)
		assert.Assert(t, slow.IsLeader() && slow.count() == 2)
	})
}

func TestFailedSyncEndsTheReplicasPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		g.propose(1)
		old := g.leader(5 * time.Second)
		g.stop(old)
		var failing atomic.Bool
		system := disk.System()
		g.disk.Operations = system
		g.disk.Operations.Sync = func(f *os.File) error {
			if failing.Load() {
				return errors.New("sync failed")
			}
			return system.Sync(f)
		}
		failed := g.start(old.id, old.dir)
		g.assertConverged(1)
		failing.Store(true)
		g.propose(1)
		time.Sleep(time.Second)
		failing.Store(false)
		time.Sleep(10 * time.Second)
		assert.ErrorContains(t, failed.Info().Err, "sync failed")
		assert.Equal(t, failed.count(), 1, "the replica continued after a failed sync")
		_, err := failed.Propose(t.Context(), []byte("x"))
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
	})
}

func TestFailedRestoreEndsTheReplicasPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		lagging := g.members[address(1)]
		g.leader(5 * time.Second)
		g.stop(lagging)
		g.propose(450)
		g.padding = 1 << 20 // more than the other members' snapshots hold, so the restore fails
		failed := g.start(1, lagging.dir)
		time.Sleep(5 * time.Second)
		assert.ErrorContains(t, failed.Info().Err, "snapshot is truncated")
		assert.Equal(t, failed.count(), 0)
	})
}

// TestNothingIsAppliedAfterAFailedRestore queues records for the applier while a restore runs that then fails. They must not be applied, since there is no state to apply them to.
func TestNothingIsAppliedAfterAFailedRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		lagging := g.members[address(1)]
		g.leader(5 * time.Second)
		g.stop(lagging)
		g.propose(450)
		g.padding, g.restoreDelay = 1<<20, time.Second
		failed := g.start(1, lagging.dir)
		time.Sleep(5 * time.Second)
		assert.ErrorContains(t, failed.Info().Err, "snapshot is truncated")
		assert.Equal(t, failed.count(), 0)
	})
}

func TestBrokenRuleEndsTheReplicasPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		old := g.leader(5 * time.Second)
		from := old.id%3 + 1
		conn, err := g.dial(address(from), old.name)
		assert.NilError(t, err)
		client := drpcconn.New(conn)
		defer client.Close()
		stream, err := wire.NewDRPCPeerClient(client).Send(t.Context())
		assert.NilError(t, err)
		heartbeat := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_HEARTBEAT, From: from, To: old.id, Term: old.Info().Term}
		assert.NilError(t, stream.Send(heartbeat))
		time.Sleep(time.Second)
		next := g.leader(5 * time.Second)
		assert.Assert(t, next != old)
		assert.ErrorContains(t, old.Info().Err, "two leaders in one term")
	})
}
