package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"daisyswitch/group"
	"daisyswitch/wire"
)

const inboxCapacity = 1024

// Options says which replica is to be connected to which others, and when a connection counts as silent.
type Options struct {
	ID      uint64
	Peers   map[uint64]string // drpc addresses of the replicas known at first, its own included
	Address string            // its own, told to others
	Domain  string            // its own failure domain, told to others
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Redial  time.Duration   // between attempts to connect
	Silence time.Duration   // how long a peer may leave messages unanswered before its connection is replaced
	Ended   <-chan struct{} // closed when nobody takes in messages any more
}

// Connections are the connections of one replica to all others that it knows.
type Connections struct {
	options Options
	started time.Time
	inbox   chan *wire.Message

	mu    sync.Mutex // guards what follows
	peers map[uint64]*peer
	ctx   context.Context // nil until Start
	tasks *group.Group
}

// New returns connections that are opened by Start.
func New(options Options) *Connections {
	c := &Connections{options: options, started: time.Now(), peers: map[uint64]*peer{}, inbox: make(chan *wire.Message, inboxCapacity)}
	for id, address := range options.Peers {
		c.AddPeer(id, address)
	}
	return c
}

// Start keeps connections open to all peers until ctx ends; tasks waits for them.
func (c *Connections) Start(ctx context.Context, tasks *group.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx, c.tasks = ctx, tasks
	for _, p := range c.peers {
		tasks.Go(func() { p.run(ctx) })
	}
}

// AddPeer adds a peer at an address, and keeps a connection to it from now on.
func (c *Connections) AddPeer(id uint64, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id == c.options.ID || address == "" || c.peers[id] != nil {
		return
	}
	p := newPeer(c, id, address)
	c.peers[id] = p
	if c.ctx != nil && c.ctx.Err() == nil {
		ctx := c.ctx
		c.tasks.Go(func() { p.run(ctx) })
	}
}

// Address returns the drpc address of a replica, its own included, empty if unknown.
func (c *Connections) Address(id uint64) string {
	if id == c.options.ID && c.options.Address != "" {
		return c.options.Address
	}
	if p := c.peer(id); p != nil {
		return p.address
	}
	return c.options.Peers[id]
}

func (c *Connections) peer(id uint64) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers[id]
}

// Inbox returns what arrives: whole messages from peers of the group, each of which must be given to Receive.
func (c *Connections) Inbox() <-chan *wire.Message { return c.inbox }

// Send queues a message for its peer and drops it if the peer cannot keep up; the log's own repair makes up for it.
func (c *Connections) Send(m *wire.Message) {
	p := c.peer(m.GetTo())
	if p == nil {
		return
	}
	m.Address, m.Domain = c.options.Address, c.options.Domain
	select {
	case p.queue <- m:
	default:
	}
}

// Receive replaces the connection to a leader whose heartbeat says that it no longer hears this replica's answers.
func (c *Connections) Receive(m *wire.Message) {
	if m.GetKind() == wire.MessageKind_MESSAGE_KIND_HEARTBEAT && m.GetRound() > 0 {
		if p := c.peer(m.GetFrom()); p != nil {
			p.reconnectIfNotAcked(m, c.since())
		}
	}
}

// ReconnectStalled replaces connections that have gone silent; it belongs into each tick.
func (c *Connections) ReconnectStalled() {
	now := c.since()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		since := time.Duration(p.unansweredSince.Load())
		if since != 0 && now-since > c.options.Silence {
			p.reconnect()
		}
	}
}

// since returns the time elapsed the connections were made, by the monotonic clock.
func (c *Connections) since() time.Duration {
	return time.Since(c.started)
}
