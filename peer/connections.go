package peer

import (
	"context"
	"net"
	"time"

	"daisyswitch/group"
	"daisyswitch/wire"
)

const inboxMessages = 1024

// Options says which replica is to be connected to which others, and when a connection counts as silent.
type Options struct {
	ID      uint64
	Peers   map[uint64]string // drpc addresses of all replicas, its own included
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Redial  time.Duration   // between attempts to connect
	Silence time.Duration   // how long a peer may leave messages unanswered before its connection is replaced
	Ended   <-chan struct{} // closed when nobody takes in messages any more
}

// Connections are the connections of one replica to all others of its group.
type Connections struct {
	o       Options
	started time.Time
	peers   map[uint64]*peer
	inbox   chan *wire.Message
}

// New returns connections that are opened by Start.
func New(o Options) *Connections {
	c := &Connections{o: o, started: time.Now(), peers: map[uint64]*peer{}, inbox: make(chan *wire.Message, inboxMessages)}
	for id, address := range o.Peers {
		if id != o.ID {
			c.peers[id] = newPeer(c, id, address)
		}
	}
	return c
}

// Start keeps connections open to all peers until ctx ends; tasks waits for them.
func (c *Connections) Start(ctx context.Context, tasks *group.Group) {
	for _, p := range c.peers {
		tasks.Go(func() { p.run(ctx) })
	}
}

// Inbox returns what arrives: whole messages from peers of the group, each of which must be given to Receive.
func (c *Connections) Inbox() <-chan *wire.Message { return c.inbox }

// Size returns the number of peers, the replica itself not counted.
func (c *Connections) Size() int { return len(c.peers) }

// Send queues a message for its peer and drops it if the peer cannot keep up; the log's own repair makes up for it.
func (c *Connections) Send(m *wire.Message) {
	select {
	case c.peers[m.GetTo()].queue <- m:
	default:
	}
}

// Receive replaces the connection to a leader whose heartbeat says that it no longer hears this replica's answers.
func (c *Connections) Receive(m *wire.Message) {
	if m.GetKind() == wire.MessageKind_MESSAGE_KIND_HEARTBEAT && m.GetRound() > 0 {
		c.peers[m.GetFrom()].reconnectIfUnheard(m, c.since())
	}
}

// Watch replaces connections that have gone silent; it belongs into each tick.
func (c *Connections) Watch() {
	now := c.since()
	for _, p := range c.peers {
		since := time.Duration(p.unanswered.Load())
		if since != 0 && now-since > c.o.Silence {
			p.reconnect()
		}
	}
}

// since returns the time since the connections were made, by the monotonic clock.
func (c *Connections) since() time.Duration {
	return time.Since(c.started)
}
