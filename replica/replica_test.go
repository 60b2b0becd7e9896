package replica_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/replica"
	"daisyswitch/verdict"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// group is a few replicas over in-memory connections that can be cut, silenced or left hanging.
type group struct {
	t        *testing.T
	mu       sync.Mutex
	members  map[string]*member
	isolated map[string]bool // dials fail and connections swallow all bytes
}

type member struct {
	*replica.Replica
	name    string
	id      uint64
	dir     string
	server  *drpcserver.Server
	ctx     context.Context
	kill    context.CancelFunc
	applied []string
	mu      sync.Mutex
}

func newGroup(t *testing.T, size int) *group {
	g := &group{t: t, members: map[string]*member{}, isolated: map[string]bool{}}
	for id := 1; id <= size; id++ {
		g.start(uint64(id), size, t.TempDir())
	}
	return g
}

func address(id uint64) string { return fmt.Sprint("replica-", id) }

func (g *group) start(id uint64, size int, dir string) *member {
	m := &member{name: address(id), id: id, dir: dir}
	peers := map[uint64]string{}
	for other := 1; other <= size; other++ {
		peers[uint64(other)] = address(uint64(other))
	}
	r, err := replica.New(replica.Options{
		ID: id, Peers: peers, Dir: dir, Seed: 7, SnapshotEvery: 100,
		Dial:     func(_ context.Context, to string) (net.Conn, error) { return g.dial(m.name, to) },
		Apply:    m.apply,
		Snapshot: m.snapshot,
		Restore:  m.restore,
		Leading:  func(bool, uint64) {},
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
	return []byte(fmt.Sprint(m.count()))
}

func (m *member) restore(b []byte) error {
	var count int
	fmt.Sscan(string(b), &count)
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
	return &silenced{Conn: near, g: g, from: from, to: to}, nil
}

// silenced swallows what is written while either end is isolated.
type silenced struct {
	net.Conn
	g        *group
	from, to string
}

func (s *silenced) Write(b []byte) (int, error) {
	s.g.mu.Lock()
	dead := s.g.isolated[s.from] || s.g.isolated[s.to]
	s.g.mu.Unlock()
	if dead {
		return len(b), nil
	}
	return s.Conn.Write(b)
}

func (g *group) isolate(m *member, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated[m.name] = isolated
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
			if m.IsLeader() && m.Confirm(context.Background()) == nil {
				return m
			}
		}
	}
	g.t.Fatalf("no leader within %v", within)
	return nil
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
