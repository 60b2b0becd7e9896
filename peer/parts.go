package peer

import "daisyswitch/wire"

const snapshotPartBytes = 128 << 10 // maximum snapshot bytes per message

// sendSnapshotParts sends a snapshot in messages that fit the transport. The peer cannot answer before the last part, so each part sent successfully counts as a sign that the connection works.
func (p *peer) sendSnapshotParts(stream wire.DRPCPeer_SendClient, m *wire.Message) error {
	total := len(m.GetSnapshot())
	for offset := 0; offset < total; offset += snapshotPartBytes {
		part := &wire.Message{
			Kind: m.GetKind(), From: m.GetFrom(), To: m.GetTo(), Term: m.GetTerm(), Disk: m.GetDisk(),
			Index: m.GetIndex(), LogTerm: m.GetLogTerm(), Address: m.GetAddress(), Domain: m.GetDomain(), Members: m.GetMembers(),
			Snapshot: m.GetSnapshot()[offset:min(total, offset+snapshotPartBytes)],
			Offset:   uint64(offset), Total: uint64(total),
		}
		if err := stream.Send(part); err != nil {
			return err
		}
		p.unansweredSince.Store(int64(p.connections.since()) | 1)
	}
	return nil
}

// snapshotAssembly reassembles a snapshot from its parts and yields it only if none is missing.
type snapshotAssembly struct {
	data []byte
}

// addPart returns the message with the complete snapshot once all parts have arrived, nil before that. It returns a message that is not a snapshot part unchanged.
func (a *snapshotAssembly) addPart(m *wire.Message) *wire.Message {
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
