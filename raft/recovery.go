package raft

import "daisyswitch/wire"

// recovery is the part of the state that is used only by a replica that started with a blank disk.
type recovery struct {
	freshPeers        map[uint64]struct{} // peers that have neither voted nor stored a record yet
	ticksSinceRequest int                 // ticks since the last recovery request
	awaitedBarrier    uint64              // index of the barrier that must be committed in this replica's log; 0 until a leader has sent it
}

// recover asks the group whether this is the group's first start or the replica has lost its disk.
func (n *Node) recover() {
	n.tryEndRecovery()
	if !n.recovering {
		return
	}
	for _, id := range n.knownReplicas() {
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_RECOVER, To: id, Nonce: n.disk})
	}
}

func (n *Node) tickRecovery() {
	if n.elapsed >= n.timeout {
		n.leader = 0
		n.resetTimer()
	}
	n.ticksSinceRequest++
	if n.ticksSinceRequest >= n.heartbeatTicks {
		n.ticksSinceRequest = 0
		n.recover()
	}
}

// blank reports whether the node has neither voted nor stored a record yet.
func (n *Node) blank() bool {
	return n.term == 0 && n.log.Last() == 0
}

// stepRecovery handles recovery and join messages, which do not belong to a term, and reports whether m was one.
func (n *Node) stepRecovery(m *wire.Message) bool {
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_KIND_RECOVER:
		n.handleRecover(m)
	case wire.MessageKind_MESSAGE_KIND_RECOVER_REPLY:
		n.handleRecoverReply(m)
	case wire.MessageKind_MESSAGE_KIND_JOIN:
		n.handleJoin(m)
	case wire.MessageKind_MESSAGE_KIND_MEMBERS:
		n.addContacts(m.GetMembers())
		n.handleDiskRejection(m)
	default:
		return false
	}
	return true
}

func (n *Node) handleRecover(m *wire.Message) {
	n.handleJoin(m)
	reply := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_RECOVER_REPLY, To: m.GetFrom(), Term: n.term, Nonce: m.GetNonce()}
	switch {
	case n.blank():
		reply.Fresh = true
	case n.role == Leader && n.barrierCommitted(m):
		reply.Index = n.followers[m.GetFrom()].Barrier
	default:
		reply = &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_MEMBERS, To: m.GetFrom(), Members: n.Members(), Nonce: m.GetNonce(), Reject: n.diskRetired(m)}
	}
	n.send(reply)
}

// diskRetired reports whether this leader considers the disk named in a recovery request lost.
func (n *Node) diskRetired(m *wire.Message) bool {
	f := n.followers[m.GetFrom()]
	return n.role == Leader && f != nil && f.Retired(m.GetNonce())
}

// handleDiskRejection draws a new disk identity if the leader considers the present one lost, which happens when a delayed request of a former disk arrives after a request of the present one.
// A recovering replica does not count towards a quorum yet, so this is equivalent to losing its disk once more.
func (n *Node) handleDiskRejection(m *wire.Message) {
	if !n.recovering || !m.GetReject() || m.GetNonce() != n.disk {
		return
	}
	n.disk = n.rand.Uint64()
	n.stateChanged = true
	n.awaitedBarrier = 0
	n.freshPeers = nil
}

// barrierCommitted reports whether a barrier appended after the loss of the disk has been committed without the replica that lost it.
func (n *Node) barrierCommitted(m *wire.Message) bool {
	f := n.followers[m.GetFrom()]
	if f == nil {
		return false
	}
	if !f.Replace(m.GetNonce(), n.log.Last()+1) {
		return false
	}
	if f.Barrier == 0 {
		f.CountsForQuorum = false
		n.appendLocal(nil)
		f.Barrier = n.log.Last()
		n.broadcast()
	}
	return f.Barrier <= n.log.Commit
}

func (n *Node) handleRecoverReply(m *wire.Message) {
	if !n.recovering || m.GetNonce() != n.disk {
		return
	}
	if m.GetFresh() {
		if n.freshPeers == nil {
			n.freshPeers = map[uint64]struct{}{}
		}
		n.freshPeers[m.GetFrom()] = struct{}{}
	} else {
		n.awaitedBarrier = max(n.awaitedBarrier, m.GetIndex())
	}
	n.tryEndRecovery()
}

// tryEndRecovery makes the node a full member if the whole group is fresh or the barrier is committed in the node's own log.
func (n *Node) tryEndRecovery() {
	if !n.recovering {
		return
	}
	first := n.mayBootstrap && n.blank() && len(n.freshPeers) == len(n.others)
	caughtUp := n.awaitedBarrier > 0 && n.log.Commit >= n.awaitedBarrier
	if !first && !caughtUp {
		return
	}
	n.recovering = false
	n.stateChanged = true
	n.resetTimer()
}
