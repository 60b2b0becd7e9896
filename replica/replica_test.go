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

// group is a few replicas over in-memory connections that can be cut off or go silent.
type group struct {
	t              *testing.T
	size           int
	mu             sync.Mutex
	members        map[string]*member
	isolated       map[string]bool // dials fail and connections swallow all bytes
	conns          []*faultyConn
	disk           disk.Options
	bytesPerSecond int           // bytes a second of each connection, 0 for no limit
	padding        int           // bytes added to a snapshot
	restoreDelay   time.Duration // that the restores of members started from now on take
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
	restoreDelay    time.Duration // that a restore takes
	notifiedLeading atomic.Bool   // as told by OnLeadershipChange
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
		ID: id, Peers: peers, Dir: dir, Seed: 7, SnapshotEvery: 100, Disk: g.disk,
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
		return errors.New("a part of a snapshot")
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
	near, far := net.Pipe()
	go m.server.ServeOne(m.ctx, far)
	conn := &faultyConn{Conn: near, g: g, from: from, to: to}
	g.conns = append(g.conns, conn)
	return conn, nil
}

// faultyConn swallows what is written while either end is isolated, or for good.
type faultyConn struct {
	net.Conn
	g        *group
	from, to string
	dead     bool
}

func (s *faultyConn) Write(b []byte) (int, error) {
	s.g.mu.Lock()
	dead, bytesPerSecond := s.dead || s.g.isolated[s.from] || s.g.isolated[s.to], s.g.bytesPerSecond
	s.g.mu.Unlock()
	if dead {
		return len(b), nil
	}
	if bytesPerSecond > 0 {
		time.Sleep(time.Duration(len(b)) * time.Second / time.Duration(bytesPerSecond))
	}
	return s.Conn.Write(b)
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

// dropOpenConns makes the connections that are open now, of one replica or of all, swallow all bytes for good; new ones work.
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

// leader waits in virtual time until one of the members leads.
func (g *group) leader(within time.Duration) *member {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, m := range g.members {
			if m.IsLeader() && m.confirms() {
				return m
			}
		}
	}
	g.t.Fatalf("no leader within %v", within)
	return nil
}

// confirms says whether the member confirms a read within a second.
func (m *member) confirms() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return m.Confirm(ctx) == nil
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
				assert.Equal(t, replica.LeaderOf(err), leader.name)
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
		assert.Assert(t, old.Confirm(t.Context()) != nil)

		time.Sleep(time.Minute)
		term := next.Info().Term
		g.isolate(old, false)
		time.Sleep(time.Minute)
		assert.Assert(t, next.IsLeader(), "the returned replica disturbed the leader")
		assert.Equal(t, next.Info().Term, term)
		assert.Equal(t, old.Info().Leader, next.id)
	})
}

// propose proposes count records at whoever leads.
func (g *group) propose(count int) {
	for range count {
		_, err := g.leader(5*time.Second).Propose(context.Background(), []byte("record"))
		assert.NilError(g.t, err)
	}
}

// assertConverged waits until all members have applied count records, none is recovering, and just the leader was told to lead.
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
			assert.Equal(t, m.Info().Leader, uint64(0), "a leader without two memories")
		}
	})
}

func TestFollowerLeftBehindCatchesUpBySnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		behind := g.members[address(1)]
		g.leader(5 * time.Second)
		g.stop(behind)
		g.propose(450)
		again := g.start(1, behind.dir)
		g.assertConverged(450)
		again.mu.Lock()
		defer again.mu.Unlock()
		assert.Equal(t, again.applied[0], "", "records before the snapshot came one by one")
	})
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
		behind := g.members[address(1)]
		g.stop(behind)
		g.propose(250)
		g.mu.Lock()
		g.bytesPerSecond = 512 << 10
		g.mu.Unlock()
		g.start(1, behind.dir)
		time.Sleep(1600 * time.Millisecond) // with settled's wait, enough for one try of six seconds
		dials := g.dials()
		g.assertConverged(250)
		assert.Equal(t, g.dials(), dials, "connections that worked were replaced")
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
				assert.Assert(t, peer.Active, "answers of %s are lost for good", peer.Address)
			}
		}
	})
}

func TestFrozenLeaderAnswersNothingStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		var frozen atomic.Int64 // replica whose disk does not answer
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
		assert.Assert(t, old.Confirm(t.Context()) != nil)
		g.propose(1)
		var unknown *verdict.Error
		assert.Assert(t, errors.As(<-stuck, &unknown))
		assert.Equal(t, unknown.Verdict, verdict.Unknown)
		g.assertConverged(3) // the stuck proposal had left for the others before the freeze
		assert.Equal(t, old.Info().Leader, g.leader(5*time.Second).id)
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
		sick := g.start(old.id, old.dir)
		g.assertConverged(1)
		failing.Store(true)
		g.propose(1)
		time.Sleep(time.Second)
		failing.Store(false)
		time.Sleep(10 * time.Second)
		assert.ErrorContains(t, sick.Info().Err, "sync failed")
		assert.Equal(t, sick.count(), 1, "it went on after a failed sync")
		_, err := sick.Propose(t.Context(), []byte("x"))
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
	})
}

func TestFailedRestoreEndsTheReplicasPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		behind := g.members[address(1)]
		g.leader(5 * time.Second)
		g.stop(behind)
		g.propose(450)
		g.padding = 1 << 20 // more than the others' snapshots hold
		sick := g.start(1, behind.dir)
		time.Sleep(5 * time.Second)
		assert.ErrorContains(t, sick.Info().Err, "a part of a snapshot")
		assert.Equal(t, sick.count(), 0)
	})
}

// TestNothingIsAppliedAfterAFailedRestore: records that were handed over while the restore went on come too late.
func TestNothingIsAppliedAfterAFailedRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		behind := g.members[address(1)]
		g.leader(5 * time.Second)
		g.stop(behind)
		g.propose(450)
		g.padding, g.restoreDelay = 1<<20, time.Second
		sick := g.start(1, behind.dir)
		time.Sleep(5 * time.Second)
		assert.ErrorContains(t, sick.Info().Err, "a part of a snapshot")
		assert.Equal(t, sick.count(), 0)
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
		second := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_HEARTBEAT, From: from, To: old.id, Term: old.Info().Term}
		assert.NilError(t, stream.Send(second))
		time.Sleep(time.Second)
		next := g.leader(5 * time.Second)
		assert.Assert(t, next != old)
		assert.ErrorContains(t, old.Info().Err, "two leaders in one term")
	})
}
