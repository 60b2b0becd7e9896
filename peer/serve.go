package peer

import (
	"errors"
	"fmt"

	"daisyswitch/wire"

	"storj.io/drpc"
)

// Register serves wire.Peer, over which the other replicas send.
func (c *Connections) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterPeer(mux, &server{connections: c})
}

type server struct {
	connections *Connections
}

// Send takes in one peer's messages until its connection ends or is replaced.
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
				return fmt.Errorf("replica %d is not of this group", m.GetFrom())
			}
			from.replaceInbound(stream)
		}
		if m.GetFrom() != from.id || m.GetTo() != c.options.ID {
			return errors.New("message is for another replica")
		}
		from.clearUnanswered()
		if m = parts.addPart(m); m == nil {
			continue
		}
		select {
		case c.inbox <- m:
		case <-c.options.Ended:
			return errors.New("replica no longer takes part")
		}
	}
}

// replaceInbound ends the stream that the peer used before.
func (p *peer) replaceInbound(stream drpc.Stream) {
	p.mu.Lock()
	old := p.inbound
	p.inbound = stream
	p.mu.Unlock()
	if old != nil {
		_ = old.Close() // it may have ended already
	}
}
