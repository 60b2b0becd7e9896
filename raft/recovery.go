package raft

import "daisyswitch/wire"

// recovery is the part of the state that only a replica without its former disk uses.
type recovery struct {
	fresh      map[uint64]struct{} // peers that have never voted nor held a record
	sinceAsked int                 // ticks
	awaited    uint64              // barrier that must be committed and held, 0 until a leader has named it
}

// recover asks the group whether this is its first start or a lost disk.
func (n *Node) recover() {
	n.endRecovery()
	if !n.recovering {
		return
	}
	for _, id := range n.known() {
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_RECOVER, To: id, Nonce: n.disk})
	}
}

func (n *Node) tickRecovery() {
	if n.elapsed >= n.timeout {
		n.leader = 0
		n.resetTimer()
	}
	n.sinceAsked++
	if n.sinceAsked >= n.heartbeatTicks {
		n.sinceAsked = 0
		n.recover()
	}
}

// blank says whether the node has never voted nor held a record.
func (n *Node) blank() bool {
	return n.term == 0 && n.log.Last() == 0
}

// stepRecovery handles the messages of recovery, which stand outside of terms.
func (n *Node) stepRecovery(m *wire.Message) bool {
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_KIND_RECOVER:
		n.answerRecover(m)
	case wire.MessageKind_MESSAGE_KIND_RECOVER_REPLY:
		n.takeRecoverReply(m)
	case wire.MessageKind_MESSAGE_KIND_JOIN:
		n.noteJoin(m)
	case wire.MessageKind_MESSAGE_KIND_MEMBERS:
		n.meet(m.GetMembers())
		n.takeRefusal(m)
	default:
		return false
	}
	return true
}

func (n *Node) answerRecover(m *wire.Message) {
	n.noteJoin(m)
	reply := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_RECOVER_REPLY, To: m.GetFrom(), Term: n.term, Nonce: m.GetNonce()}
	switch {
	case n.blank():
		reply.Fresh = true
	case n.role == Leader && n.barrierDone(m):
		reply.Index = n.followers[m.GetFrom()].Barrier
	default:
		reply = &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_MEMBERS, To: m.GetFrom(), Members: n.Members(), Nonce: m.GetNonce(), Reject: n.takesForLost(m)}
	}
	n.send(reply)
}

// takesForLost says whether a leader has taken the disk that a question is about for one that is no more.
func (n *Node) takesForLost(m *wire.Message) bool {
	f := n.followers[m.GetFrom()]
	return n.role == Leader && f != nil && f.Retired(m.GetNonce())
}

// takeRefusal draws a new identity for a disk that the leader takes for lost, since a late question of a former disk overtook it.
// A replica that recovers counts for no quorum yet, so that this is no more than one more loss of its disk.
func (n *Node) takeRefusal(m *wire.Message) {
	if !n.recovering || !m.GetReject() || m.GetNonce() != n.disk {
		return
	}
	n.disk = n.rand.Uint64()
	n.stateChanged = true
	n.awaited = 0
	n.fresh = nil
}

// barrierDone says whether a barrier begun after the loss of the disk has been committed without the replica that lost it.
func (n *Node) barrierDone(m *wire.Message) bool {
	f := n.followers[m.GetFrom()]
	if f == nil {
		return false
	}
	if !f.Replace(m.GetNonce(), n.log.Last()+1) {
		return false
	}
	if f.Barrier == 0 {
		f.Voter = false
		n.appendLocal(nil)
		f.Barrier = n.log.Last()
		n.broadcast()
	}
	return f.Barrier <= n.log.Commit
}

func (n *Node) takeRecoverReply(m *wire.Message) {
	if !n.recovering || m.GetNonce() != n.disk {
		return
	}
	if m.GetFresh() {
		if n.fresh == nil {
			n.fresh = map[uint64]struct{}{}
		}
		n.fresh[m.GetFrom()] = struct{}{}
	} else {
		n.awaited = max(n.awaited, m.GetIndex())
	}
	n.endRecovery()
}

// endRecovery makes the node a full member if the whole group is fresh or the barrier is held and committed.
func (n *Node) endRecovery() {
	if !n.recovering {
		return
	}
	first := n.forms && n.blank() && len(n.fresh) == len(n.others)
	caughtUp := n.awaited > 0 && n.log.Commit >= n.awaited
	if !first && !caughtUp {
		return
	}
	n.recovering = false
	n.stateChanged = true
	n.resetTimer()
}
