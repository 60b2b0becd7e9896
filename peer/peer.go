package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"daisyswitch/event"
	"daisyswitch/wire"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

const maxQueuedMessages = 1024 // per peer; more are dropped

// peer sends to one other replica, in order, over one connection at a time.
type peer struct {
	connections *Connections
	id          uint64
	address     string
	queue       chan *wire.Message

	unansweredSince atomic.Int64 // when the first message that asks for an answer was sent since the peer was last heard, 0 if none was; since the connections were made, nanoseconds

	ackedTerm  uint64 // what the peer, as leader, last said to have heard of this replica
	ackedRound uint64
	ackedAt    time.Duration

	mu         sync.Mutex
	disconnect context.CancelFunc // ends the connection in use, nil if there is none
	inbound    drpc.Stream        // stream that the peer sends on
}

func newPeer(connections *Connections, id uint64, address string) *peer {
	return &peer{connections: connections, id: id, address: address, queue: make(chan *wire.Message, maxQueuedMessages)}
}

// reconnectIfNotAcked replaces the connection if the leader says that it has not heard the answers sent over it.
func (p *peer) reconnectIfNotAcked(m *wire.Message, now time.Duration) {
	if p.ackedTerm != m.GetTerm() || p.ackedRound != m.GetHint() {
		p.ackedTerm, p.ackedRound, p.ackedAt = m.GetTerm(), m.GetHint(), now
		return
	}
	if now-p.ackedAt > p.connections.options.Silence {
		p.ackedAt = now
		p.reconnect()
	}
}

func (p *peer) reconnect() {
	p.unansweredSince.Store(0)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.disconnect != nil {
		p.disconnect()
	}
}

// clearUnanswered notes that the peer's process answers.
func (p *peer) clearUnanswered() {
	p.unansweredSince.Store(0)
}

func (p *peer) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.connect(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(p.connections.options.Redial):
		}
	}
}

// connect sends over one connection until it fails.
func (p *peer) connect(ctx context.Context) {
	ctx, cut := context.WithCancel(ctx)
	defer cut()
	p.setDisconnect(cut)
	defer p.setDisconnect(nil)
	dialCtx, cancel := context.WithTimeout(ctx, p.connections.options.Silence)
	defer cancel()
	transport, err := p.connections.options.Dial(dialCtx, p.address)
	if err != nil {
		return
	}
	conn := drpcconn.New(transport)
	defer conn.Close()
	stream, err := wire.NewDRPCPeerClient(conn).Send(ctx)
	if err != nil {
		return
	}
	p.dropQueue()
	event.PeerConnected.Info("replica", p.connections.options.ID, "peer", p.id)
	err = p.sendAll(ctx, stream)
	event.PeerDisconnected.Info("replica", p.connections.options.ID, "peer", p.id, "cause", err)
}

func (p *peer) sendAll(ctx context.Context, stream wire.DRPCPeer_SendClient) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stream.Context().Done():
			return stream.Context().Err()
		case m := <-p.queue:
			if err := p.send(stream, m); err != nil {
				return err
			}
		}
	}
}

func (p *peer) setDisconnect(disconnect context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnect = disconnect
}

// dropQueue drops what was meant for an earlier connection.
func (p *peer) dropQueue() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

func (p *peer) send(stream wire.DRPCPeer_SendClient, m *wire.Message) error {
	if expectsAnswer(m) {
		p.unansweredSince.CompareAndSwap(0, int64(p.connections.since())|1)
	}
	if len(m.GetSnapshot()) == 0 {
		return stream.Send(m)
	}
	return p.sendSnapshotParts(stream, m)
}

// expectsAnswer says whether a message is answered by a peer that takes part.
func expectsAnswer(m *wire.Message) bool {
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE, wire.MessageKind_MESSAGE_KIND_VOTE,
		wire.MessageKind_MESSAGE_KIND_APPEND, wire.MessageKind_MESSAGE_KIND_SNAPSHOT:
		return true
	case wire.MessageKind_MESSAGE_KIND_HEARTBEAT:
		return m.GetRound() > 0
	default:
		return false
	}
}
