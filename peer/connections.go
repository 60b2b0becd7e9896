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

// Options configures the connections of one replica.
type Options struct {
	ID             uint64
	Peers          map[uint64]string // drpc addresses of the initially known replicas, its own included
	Address        string            // its own, sent with each message
	Domain         string            // its own failure domain, sent with each message
	Dial           func(ctx context.Context, address string) (net.Conn, error)
	RedialInterval time.Duration   // between attempts to connect
	AnswerTimeout  time.Duration   // how long messages to a peer may stay unanswered before its connection is replaced; also the dial time-out
	Ended          <-chan struct{} // closed when messages from Inbox are no longer received
}

// Connections holds the connections of one replica to all other replicas that it knows.
type Connections struct {
	options Options
	started time.Time
	inbox   chan *wire.Message

	mu    sync.Mutex // guards the fields below
	peers map[uint64]*peer
	ctx   context.Context // nil until Start
	tasks *group.Group
}

// New returns Connections that open when Start is called.
func New(options Options) *Connections {
	c := &Connections{options: options, started: time.Now(), peers: map[uint64]*peer{}, inbox: make(chan *wire.Message, inboxCapacity)}
	for id, address := range options.Peers {
		c.AddPeer(id, address)
	}
	return c
}

// Start keeps connections open to all peers until ctx ends. Their goroutines run in tasks.
func (c *Connections) Start(ctx context.Context, tasks *group.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx, c.tasks = ctx, tasks
	for _, p := range c.peers {
		tasks.Go(func() { p.run(ctx) })
	}
}

// AddPeer adds a peer and, after Start, keeps a connection to it. It ignores this replica's own id, an empty address and peers that are known already.
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

// Address returns the drpc address of a replica, including this one, or the empty string if it is unknown.
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

// Inbox returns the channel of received messages, with snapshots reassembled. Each message must be passed to CheckAcknowledged.
func (c *Connections) Inbox() <-chan *wire.Message { return c.inbox }

// Send queues a message for its peer. It drops the message if the queue is full; Raft's retransmission makes up for the loss.
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

// CheckAcknowledged replaces the connection to a leader whose heartbeats show that it no longer receives this replica's answers.
func (c *Connections) CheckAcknowledged(m *wire.Message) {
	if m.GetKind() == wire.MessageKind_MESSAGE_KIND_HEARTBEAT && m.GetRound() > 0 {
		if p := c.peer(m.GetFrom()); p != nil {
			p.reconnectIfNotAcked(m, c.since())
		}
	}
}

// ReconnectStalled replaces connections whose messages have stayed unanswered too long. It must be called on each tick.
func (c *Connections) ReconnectStalled() {
	now := c.since()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		since := time.Duration(p.unansweredSince.Load())
		if since != 0 && now-since > c.options.AnswerTimeout {
			p.reconnect()
		}
	}
}

// since returns the time since c was created, by the monotonic clock.
func (c *Connections) since() time.Duration {
	return time.Since(c.started)
}
