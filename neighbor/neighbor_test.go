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

// talker is one entry and what it heard.
type talker struct {
	*neighbor.Exchange
	server *inner.Server

	mu       sync.Mutex
	version  uint64
	answered int
	late     int // answers whose asking time was not before they were written
}

// newTalkers returns entries whose answers carry when they were written.
func newTalkers(t *testing.T, f *fabric.Fabric) []*talker {
	var all []*talker
	for _, n := range entries {
		k := &talker{version: 1}
		k.Exchange = neighbor.New(neighbor.Options{
			Name:      n.Name,
			Neighbors: entries,
			Pool:      inner.New(inner.Options{Dial: f.Dialer(n.Name)}),
			Ask:       func(uint64) *wire.Gossip { return k.gossip(n.Name) },
			Answer: func(uint64) *wire.Gossip {
				g := k.gossip(n.Name)
				g.Announcements = []*wire.Announcement{{AgeMs: time.Now().UnixMicro()}}
				return g
			},
			Asked:    k.take,
			Answered: k.answer,
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

func (k *talker) gossip(name string) *wire.Gossip {
	k.mu.Lock()
	defer k.mu.Unlock()
	return &wire.Gossip{Entry: name, Version: k.version}
}

func (k *talker) take(g *wire.Gossip) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version = max(k.version, g.Version)
}

func (k *talker) answer(asked time.Time, g *wire.Gossip) {
	k.take(g)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.answered++
	if asked.UnixMicro() >= g.Announcements[0].AgeMs {
		k.late++
	}
}

func (k *talker) counts() (answered, late int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.answered, k.late
}

func (k *talker) setVersion(v uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version = v
}

// TestExchange passes a version around a cut, at once, and tells when each answer was asked for.
func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fabric.New(time.Millisecond)
		all := newTalkers(t, f)
		f.Cut("e1", "e3")
		for _, k := range all {
			k.Start()
			defer k.server.Close()
			defer k.Close()
		}
		time.Sleep(5*time.Second + 100*time.Millisecond) // between two turns
		assert.Equal(t, all[0].Alive(), 1)
		assert.Equal(t, all[1].Alive(), 2)
		all[0].setVersion(9)
		all[0].Poke()
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, all[1].gossip("").Version, uint64(9), "a neighbor is told at once")
		time.Sleep(time.Second)
		assert.Equal(t, all[2].gossip("").Version, uint64(9), "the neighbor beyond the cut is told in turn")
		for _, k := range all {
			answered, late := k.counts()
			assert.Assert(t, answered > 5)
			assert.Equal(t, late, 0, "an answer is older than it was taken to be")
		}
	})
}
