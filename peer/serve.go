package peer

import (
	"errors"
	"fmt"

	"daisyswitch/event"
	"daisyswitch/raft"
	"daisyswitch/wire"

	"storj.io/drpc"
)

// Register registers the drpc service wire.Peer, through which other replicas send messages.
func (c *Connections) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterPeer(mux, &server{connections: c})
}

type server struct {
	connections *Connections
}

// Send receives one peer's messages until its connection ends or is replaced.
func (s *server) Send(stream wire.DRPCPeer_SendStream) error {
	c := s.connections
	var from *peer
	var parts snapshotAssembly
	for {
		m, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("receive: %w", err)
		}
		if from == nil {
			c.AddPeer(m.GetFrom(), m.GetAddress())
			if from = c.peer(m.GetFrom()); from == nil {
				return fmt.Errorf("replica %d cannot be added as a peer: it sent no address or this replica's own id", m.GetFrom())
			}
			from.replaceInbound(stream)
		}
		if m.GetFrom() != from.id || m.GetTo() != c.options.ID {
			return errors.New("message is for another replica or not from the sender of this stream")
		}
		if err := raft.CheckMessage(m); err != nil {
			event.MessageMalformed.Error(err, "replica", c.options.ID, "peer", from.id)
			return err
		}
		from.clearUnanswered()
		if m = parts.addPart(m); m == nil {
			continue
		}
		select {
		case c.inbox <- m:
		case <-c.options.Ended:
			return errors.New("replica has stopped")
		}
	}
}

// replaceInbound records the peer's new stream and closes its previous one.
func (p *peer) replaceInbound(stream drpc.Stream) {
	p.mu.Lock()
	old := p.inbound
	p.inbound = stream
	p.mu.Unlock()
	if old != nil {
		_ = old.Close() // it may have ended already
	}
}
