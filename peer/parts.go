package peer

import "daisyswitch/wire"

const snapshotPartBytes = 128 << 10 // of a snapshot, one message each

// sendSnapshotParts sends a snapshot in messages that fit the transport; the peer cannot answer before the last one, so each that gets through shows that the connection works.
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

// snapshotAssembly joins the parts of a snapshot, whole or not at all.
type snapshotAssembly struct {
	data []byte
}

// addPart returns a whole message, nil while parts are missing.
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
