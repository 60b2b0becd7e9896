package replica

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

const (
	queuedMessages = 1024      // per peer; more are dropped
	redialTicks    = 2         // between attempts to connect
	partBytes      = 128 << 10 // of a snapshot, one message each
)

// peer sends to one other replica, in order, over one connection at a time.
type peer struct {
	r       *Replica
	id      uint64
	address string
	queue   chan *wire.Message

	unanswered atomic.Int64 // when the first message that asks for an answer was sent since the peer was last heard, 0 if none was; since started, nanoseconds

	ackedTerm  uint64 // what the peer, as leader, last said to have heard of this replica
	ackedRound uint64
	ackedAt    time.Duration

	mu      sync.Mutex
	cut     context.CancelFunc // ends the connection in use, nil if there is none
	inbound drpc.Stream        // stream that the peer sends on
}

func newPeer(r *Replica, id uint64, address string) *peer {
	return &peer{r: r, id: id, address: address, queue: make(chan *wire.Message, queuedMessages)}
}

// enqueue drops the message if the peer cannot keep up; the log's own repair makes up for it.
func (p *peer) enqueue(m *wire.Message) {
	select {
	case p.queue <- m:
	default:
	}
}

// silence is how long a peer may leave messages unanswered before its connection is replaced.
func (r *Replica) silence() time.Duration {
	return time.Duration(r.o.ElectionTicks) * r.o.Tick
}

// watchPeers replaces connections that have gone silent.
func (r *Replica) watchPeers(now time.Duration) {
	for _, p := range r.peers {
		since := time.Duration(p.unanswered.Load())
		if since != 0 && now-since > r.silence() {
			p.reconnect()
		}
	}
}

// noteAcked replaces the connection if the leader says that it has not heard the answers sent over it.
func (p *peer) noteAcked(m *wire.Message, now, silence time.Duration) {
	if p.ackedTerm != m.GetTerm() || p.ackedRound != m.GetHint() {
		p.ackedTerm, p.ackedRound, p.ackedAt = m.GetTerm(), m.GetHint(), now
		return
	}
	if now-p.ackedAt > silence {
		p.ackedAt = now
		p.reconnect()
	}
}

func (p *peer) reconnect() {
	p.unanswered.Store(0)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != nil {
		p.cut()
	}
}

// heard notes that the peer's process answers.
func (p *peer) heard() {
	p.unanswered.Store(0)
}

func (p *peer) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.connect(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(redialTicks * p.r.o.Tick):
		}
	}
}

// connect sends over one connection until it fails.
func (p *peer) connect(ctx context.Context) {
	ctx, cut := context.WithCancel(ctx)
	defer cut()
	p.setCut(cut)
	defer p.setCut(nil)
	dialCtx, cancel := context.WithTimeout(ctx, p.r.silence())
	defer cancel()
	transport, err := p.r.o.Dial(dialCtx, p.address)
	if err != nil {
		return
	}
	conn := drpcconn.New(transport)
	defer conn.Close()
	stream, err := wire.NewDRPCPeerClient(conn).Send(ctx)
	if err != nil {
		return
	}
	p.forget()
	event.PeerConnected.Info("replica", p.r.o.ID, "peer", p.id)
	err = p.sendAll(ctx, stream)
	event.PeerDisconnected.Info("replica", p.r.o.ID, "peer", p.id, "cause", err)
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

func (p *peer) setCut(cut context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// forget drops what was meant for an earlier connection.
func (p *peer) forget() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

func (p *peer) send(stream wire.DRPCPeer_SendClient, m *wire.Message) error {
	if asks(m) {
		p.unanswered.CompareAndSwap(0, int64(p.r.since())|1)
	}
	if len(m.GetSnapshot()) == 0 {
		return stream.Send(m)
	}
	return p.sendParts(stream, m)
}

// asks says whether a message is answered by a peer that takes part.
func asks(m *wire.Message) bool {
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

// sendParts sends a snapshot in messages that fit the transport; the peer cannot answer before the last one, so each that gets through shows that the connection works.
func (p *peer) sendParts(stream wire.DRPCPeer_SendClient, m *wire.Message) error {
	total := len(m.GetSnapshot())
	for offset := 0; offset < total; offset += partBytes {
		part := &wire.Message{
			Kind: m.GetKind(), From: m.GetFrom(), To: m.GetTo(), Term: m.GetTerm(), Disk: m.GetDisk(),
			Index: m.GetIndex(), LogTerm: m.GetLogTerm(),
			Snapshot: m.GetSnapshot()[offset:min(total, offset+partBytes)],
			Offset:   uint64(offset), Total: uint64(total),
		}
		if err := stream.Send(part); err != nil {
			return err
		}
		p.unanswered.Store(int64(p.r.since()) | 1)
	}
	return nil
}
