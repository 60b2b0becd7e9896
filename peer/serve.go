package replica

import (
	"errors"
	"fmt"

	"daisyswitch/wire"

	"storj.io/drpc"
)

// Register serves wire.Peer, over which the other replicas send.
func (r *Replica) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterPeer(mux, &server{replica: r})
}

type server struct {
	replica *Replica
}

// Send takes in one peer's messages until its connection ends or is replaced.
func (s *server) Send(stream wire.DRPCPeer_SendStream) error {
	r := s.replica
	var from *peer
	var parts assembly
	for {
		m, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("receive: %w", err)
		}
		if from == nil {
			if from = r.peers[m.GetFrom()]; from == nil {
				return fmt.Errorf("replica %d is not of this group", m.GetFrom())
			}
			from.replaceInbound(stream)
		}
		if m.GetFrom() != from.id || m.GetTo() != r.o.ID {
			return errors.New("message is for another replica")
		}
		from.heard()
		if m = parts.add(m); m == nil {
			continue
		}
		select {
		case r.inbox <- m:
		case <-r.ended:
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

// assembly joins the parts of a snapshot, whole or not at all.
type assembly struct {
	data []byte
}

// add returns a whole message, nil while parts are missing.
func (a *assembly) add(m *wire.Message) *wire.Message {
	if m.GetTotal() == 0 {
		return m
	}
	if m.GetOffset() == 0 {
		a.data = make([]byte, 0, m.GetTotal())
	}
	if m.GetOffset() != uint64(len(a.data)) {
		return nil
	}
	a.data = append(a.data, m.GetSnapshot()...)
	if uint64(len(a.data)) < m.GetTotal() {
		return nil
	}
	m.Snapshot = a.data
	a.data = nil
	return m
}
