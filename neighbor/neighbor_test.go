package neighbor_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/fabric"
	"daisyswitch/inner"
	"daisyswitch/neighbor"
	"daisyswitch/settings"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
)

var entries = []settings.Neighbor{{Name: "e1", Inner: "e1:1"}, {Name: "e2", Inner: "e2:1"}, {Name: "e3", Inner: "e3:1"}}

// testEntry is one entry with what it has received.
type testEntry struct {
	*neighbor.Exchange
	server *inner.Server

	mu       sync.Mutex
	version  uint64
	answered int
	late     int // replies whose reported request time was not before they were built
}

// newTestEntries returns entries whose replies contain the time at which they were built.
func newTestEntries(t *testing.T, f *fabric.Fabric) []*testEntry {
	var all []*testEntry
	for _, n := range entries {
		k := &testEntry{version: 1}
		k.Exchange = neighbor.New(neighbor.Options{
			Name:                 n.Name,
			Neighbors:            entries,
			Pool:                 inner.New(inner.Options{Dial: f.Dialer(n.Name)}),
			BuildExchangeRequest: func(uint64) *wire.Gossip { return k.gossip(n.Name) },
			BuildExchangeReply: func(uint64) *wire.Gossip {
				g := k.gossip(n.Name)
				g.Announcements = []*wire.Announcement{{AgeMs: time.Now().UnixMicro()}}
				return g
			},
			OnExchangeRequest: k.receiveGossip,
			OnExchangeReply:   k.receiveReply,
		})
		mux := drpcmux.New()
		assert.NilError(t, k.Register(mux))
		server, err := inner.Listen(f.Listen, n.Inner, mux)
		assert.NilError(t, err)
		k.server = server
		all = append(all, k)
	}
	return all
}

func (k *testEntry) gossip(name string) *wire.Gossip {
	k.mu.Lock()
	defer k.mu.Unlock()
	return &wire.Gossip{Entry: name, Version: k.version}
}

func (k *testEntry) receiveGossip(g *wire.Gossip) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version = max(k.version, g.Version)
}

func (k *testEntry) receiveReply(asked time.Time, g *wire.Gossip) {
	k.receiveGossip(g)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.answered++
	if asked.UnixMicro() >= g.Announcements[0].AgeMs {
		k.late++
	}
}

func (k *testEntry) counts() (answered, late int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.answered, k.late
}

func (k *testEntry) setVersion(v uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version = v
}

// TestExchange propagates a version around a network partition, and checks that each reply is reported with a request time before it was built.
func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fabric.New(time.Millisecond)
		all := newTestEntries(t, f)
		f.Cut("e1", "e3")
		for _, k := range all {
			k.Start()
			defer k.server.Close()
			defer k.Close()
		}
		time.Sleep(5*time.Second + 100*time.Millisecond) // between two intervals
		assert.Equal(t, all[0].Alive(), 1)
		assert.Equal(t, all[1].Alive(), 2)
		all[0].setVersion(9)
		all[0].ExchangeNow()
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, all[1].gossip("").Version, uint64(9), "a reachable neighbor must have the version at once")
		time.Sleep(time.Second)
		assert.Equal(t, all[2].gossip("").Version, uint64(9), "the neighbor behind the partition must have the version after the next interval")
		for _, k := range all {
			answered, late := k.counts()
			assert.Assert(t, answered > 5)
			assert.Equal(t, late, 0, "replies were requested no earlier than they were built")
		}
	})
}
