package control_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"daisyswitch/control"
	"daisyswitch/fabric"
	"daisyswitch/inner"
	"daisyswitch/leader"
	"daisyswitch/settings"
	"daisyswitch/watch"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"
)

const oneWayDelay = time.Millisecond // network delay between instances

var domains = []string{"cebu", "bohol", "leyte"}

// group is three control processes on a simulated network, one in each failure domain.
type group struct {
	t        *testing.T
	fabric   *fabric.Fabric
	dir      string
	replicas []settings.Replica
	controls map[uint64]*control.Control
	called   *control.Called          // how the processes call workers, nil if they do not
	maxHeld  int64                    // bytes that accepted workflows may take in processes started from now on, 0 for no limit
	paused   map[uint64]*atomic.Int64 // by replica, nanoseconds by which its clock has jumped ahead, as after a suspension
}

func newGroup(t *testing.T) *group { return newGroupCalling(t, nil) }

func newGroupCalling(t *testing.T, called *control.Called) *group {
	g := &group{t: t, called: called, fabric: fabric.New(oneWayDelay), dir: t.TempDir(), controls: map[uint64]*control.Control{}, paused: map[uint64]*atomic.Int64{}}
	for i, domain := range domains {
		g.replicas = append(g.replicas, settings.Replica{ID: uint64(i + 1), Inner: fmt.Sprintf("c%d:1", i+1), Domain: domain})
	}
	for _, r := range g.replicas {
		g.paused[r.ID] = &atomic.Int64{}
		g.start(r.ID)
	}
	return g
}

func (g *group) data(id uint64) string {
	return filepath.Join(g.dir, fmt.Sprint(id))
}

func (g *group) start(id uint64) {
	r := g.replicas[id-1]
	began, paused := time.Now(), g.paused[id]
	c, err := control.New(control.Options{
		Settings: &settings.Control{
			Common:        settings.Common{Name: fmt.Sprintf("c%d", id), Domain: r.Domain, Inner: r.Inner},
			ID:            id,
			Data:          g.data(id),
			Control:       g.replicas,
			TickMS:        50,
			ElectionTicks: 10,
			LeaseMS:       5000,
			DriftPPM:      1000,
			SnapshotEvery: 50,
			AuditKeep:     1000,
			AnswersKeep:   100,
		},
		Called:    g.called,
		MaxHeld:   g.maxHeld,
		Dial:      g.fabric.Dialer(fmt.Sprintf("c%d", id)),
		Listen:    g.fabric.Listen,
		SinceBoot: func() time.Duration { return time.Since(began) + time.Duration(paused.Load()) + time.Hour },
	})
	assert.NilError(g.t, err)
	g.controls[id] = c
}

func (g *group) stop(id uint64) {
	assert.Check(g.t, g.controls[id].Close())
	delete(g.controls, id)
}

// loseDisk stops a replica and restarts it with an empty data directory.
func (g *group) loseDisk(id uint64) {
	g.stop(id)
	assert.NilError(g.t, os.RemoveAll(g.data(id)))
	g.start(id)
}

func (g *group) close() {
	for id := range g.controls {
		g.stop(id)
	}
}

// isolate cuts a host off from all replicas except those listed.
func (g *group) isolate(host string, except ...string) {
	for _, other := range []string{"c1", "c2", "c3"} {
		if other != host && !contains(except, other) {
			g.fabric.Cut(host, other)
		}
	}
}

func (g *group) reconnect(host string) {
	for _, other := range []string{"c1", "c2", "c3"} {
		g.fabric.Heal(host, other)
	}
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

// client is an entry's connection to control, from its own host.
type client struct {
	*leader.Leader
	pool     *inner.Pool
	sequence uint64
	name     string
}

func (g *group) client(host string, ids ...uint64) *client {
	pool := inner.New(inner.Options{Dial: g.fabric.Dialer(host)})
	var addresses []string
	for _, r := range g.replicas {
		if len(ids) == 0 || containsID(ids, r.ID) {
			addresses = append(addresses, r.Inner)
		}
	}
	return &client{Leader: leader.New(pool, addresses), pool: pool, name: host}
}

func containsID(ids []uint64, id uint64) bool {
	for _, item := range ids {
		if item == id {
			return true
		}
	}
	return false
}

// change proposes one change based on the current version and returns its result.
func (c *client) change(t *testing.T, change *wire.Change) (*wire.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reply, err := c.Read(ctx, &wire.ReadRequest{Kind: wire.ReadKind_READ_KIND_STATUS})
	if err != nil {
		return nil, err
	}
	c.sequence++
	change.Operator, change.Sequence, change.BaseVersion = c.name, c.sequence, reply.Status.Configuration.Version
	result, err := c.Propose(ctx, &wire.Command{Change: change})
	return result.GetChange(), err
}

func putClass(i int) *wire.Change {
	class := &wire.Class{Name: fmt.Sprintf("class-%d", i), Kind: wire.ClassKind_CLASS_KIND_SERVICE, TargetP99Us: 50_000}
	return &wire.Change{Operation: &wire.Change_PutClass{PutClass: class}}
}

func (c *client) mustChange(t *testing.T, change *wire.Change) uint64 {
	t.Helper()
	result, err := c.change(t, change)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, wire.Outcome_OUTCOME_ACCEPTED, result.Reason)
	return result.Version
}

func (c *client) status(t *testing.T) *wire.Status {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reply, err := c.Read(ctx, &wire.ReadRequest{Kind: wire.ReadKind_READ_KIND_STATUS})
	assert.NilError(t, err)
	return reply.Status
}

// follower is an entry's watch of the configuration, from its own host.
type follower struct {
	*watch.Holder
	*watch.Watch
	applied []uint64
}

func (g *group) follow(host, domain string) *follower {
	pool := inner.New(inner.Options{Dial: g.fabric.Dialer(host)})
	f := &follower{}
	f.Holder = watch.NewHolder(func(c *wire.Configuration) { f.applied = append(f.applied, c.Version) })
	f.Watch = watch.New(watch.Options{
		Entry:    host,
		Domain:   domain,
		Replicas: g.replicas,
		Dial:     func(ctx context.Context, address string) (*drpcconn.Conn, error) { return pool.Dial(ctx, address) },
		Holder:   f.Holder,
	})
	return f
}
