package raft

import "daisyswitch/wire"

// Step takes in one message from a peer.
func (n *Node) Step(m *wire.Message) {
	if m.GetTo() != n.id || m.GetFrom() == n.id {
		return
	}
	if n.stepRecovery(m) || n.recovering && isElection(m.GetKind()) {
		return
	}
	if m.GetTerm() > n.term && !n.stepNewerTerm(m) {
		return
	}
	if m.GetTerm() < n.term {
		n.stepOlderTerm(m)
		return
	}
	n.stepTerm(m)
}

func isElection(k wire.MessageKind) bool {
	return k >= wire.MessageKind_MESSAGE_KIND_PRE_VOTE && k <= wire.MessageKind_MESSAGE_KIND_VOTE_REPLY
}

func fromLeader(k wire.MessageKind) bool {
	return k == wire.MessageKind_MESSAGE_KIND_TAKE_OVER || k == wire.MessageKind_MESSAGE_KIND_APPEND || k == wire.MessageKind_MESSAGE_KIND_HEARTBEAT || k == wire.MessageKind_MESSAGE_KIND_SNAPSHOT
}

// stepNewerTerm moves on to the message's term where it has one to move to, and says whether the message is handled further.
func (n *Node) stepNewerTerm(m *wire.Message) bool {
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.answerPreVote(m)
		return false
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !m.GetReject() {
			n.countPreVote(m)
			return false
		}
	case wire.MessageKind_MESSAGE_KIND_VOTE:
		if n.leased() && !m.GetForced() {
			return false
		}
	}
	n.follow(m.GetTerm(), 0)
	return true
}

// stepOlderTerm tells a sender that its term is over.
func (n *Node) stepOlderTerm(m *wire.Message) {
	switch {
	case fromLeader(m.GetKind()):
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Term: n.term, Reject: true})
	case m.GetKind() == wire.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.GetFrom(), Term: n.term, Reject: true})
	case m.GetKind() == wire.MessageKind_MESSAGE_KIND_VOTE:
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.GetFrom(), Term: n.term, Reject: true})
	}
}

func (n *Node) stepTerm(m *wire.Message) {
	if fromLeader(m.GetKind()) {
		n.hear(m.GetFrom())
	}
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.answerPreVote(m)
	case wire.MessageKind_MESSAGE_KIND_VOTE:
		n.answerVote(m)
	case wire.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		n.countVote(m)
	case wire.MessageKind_MESSAGE_KIND_APPEND:
		n.takeAppend(m)
	case wire.MessageKind_MESSAGE_KIND_HEARTBEAT:
		n.takeHeartbeat(m)
	case wire.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.takeSnapshot(m)
	case wire.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		n.countAppend(m)
	case wire.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		n.countHeartbeat(m)
	case wire.MessageKind_MESSAGE_KIND_TAKE_OVER:
		n.takeOver()
	}
}
