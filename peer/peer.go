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

const maxQueuedMessages = 1024 // per peer; further messages are dropped

// peer sends messages to one other replica, in order, over one connection at a time.
type peer struct {
	connections *Connections
	id          uint64
	address     string
	queue       chan *wire.Message

	unansweredSince atomic.Int64 // when the first message that expects an answer was sent after the peer's last message, in nanoseconds as returned by Connections.since; 0 if there is none

	ackedTerm  uint64 // term and round of the last heartbeat answer that the peer, as leader, has acknowledged
	ackedRound uint64
	ackedAt    time.Duration

	mu         sync.Mutex
	disconnect context.CancelFunc // closes the open connection, nil if there is none
	inbound    drpc.Stream        // stream on which the peer sends
}

func newPeer(connections *Connections, id uint64, address string) *peer {
	return &peer{connections: connections, id: id, address: address, queue: make(chan *wire.Message, maxQueuedMessages)}
}

// reconnectIfNotAcked replaces the connection if the leader has acknowledged no new heartbeat answer of this replica for longer than AnswerTimeout.
func (p *peer) reconnectIfNotAcked(m *wire.Message, now time.Duration) {
	if p.ackedTerm != m.GetTerm() || p.ackedRound != m.GetHint() {
		p.ackedTerm, p.ackedRound, p.ackedAt = m.GetTerm(), m.GetHint(), now
		return
	}
	if now-p.ackedAt > p.connections.options.AnswerTimeout {
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

// clearUnanswered records that a message from the peer has arrived.
func (p *peer) clearUnanswered() {
	p.unansweredSince.Store(0)
}

func (p *peer) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.connect(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(p.connections.options.RedialInterval):
		}
	}
}

// connect opens one connection and sends queued messages over it until it fails.
func (p *peer) connect(ctx context.Context) {
	ctx, disconnect := context.WithCancel(ctx)
	defer disconnect()
	p.setDisconnect(disconnect)
	defer p.setDisconnect(nil)
	dialCtx, cancel := context.WithTimeout(ctx, p.connections.options.AnswerTimeout)
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

// dropQueue drops messages that were queued for an earlier connection.
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

// expectsAnswer reports whether a running peer answers the message.
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
