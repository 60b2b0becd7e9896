package raft

import (
	"fmt"

	"daisyswitch/wire"
)

// Step handles one message from a peer.
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

// CheckMessage returns why a message from a peer contradicts itself, nil if it does not.
func CheckMessage(m *wire.Message) error {
	next, term := m.GetIndex()+1, m.GetLogTerm()
	for _, e := range m.GetEntries() {
		if e.GetIndex() != next || e.GetTerm() < term || e.GetTerm() > m.GetTerm() {
			return fmt.Errorf("entry %d of term %d does not follow entry %d of term %d in a message of term %d", e.GetIndex(), e.GetTerm(), next-1, term, m.GetTerm())
		}
		next, term = next+1, e.GetTerm()
	}
	return nil
}

func isElection(k wire.MessageKind) bool {
	return k >= wire.MessageKind_MESSAGE_KIND_PRE_VOTE && k <= wire.MessageKind_MESSAGE_KIND_VOTE_REPLY
}

func fromLeader(k wire.MessageKind) bool {
	return k == wire.MessageKind_MESSAGE_KIND_TAKE_OVER || k == wire.MessageKind_MESSAGE_KIND_APPEND || k == wire.MessageKind_MESSAGE_KIND_HEARTBEAT || k == wire.MessageKind_MESSAGE_KIND_SNAPSHOT
}

// stepNewerTerm adopts the message's newer term unless the message is a pre-vote or a vote request refused because of the leader's lease. It reports whether the message is to be handled further.
func (n *Node) stepNewerTerm(m *wire.Message) bool {
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.handlePreVote(m)
		return false
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !m.GetReject() {
			n.handlePreVoteReply(m)
			return false
		}
	case wire.MessageKind_MESSAGE_KIND_VOTE:
		if n.leaseActive() && !m.GetForced() {
			return false
		}
	}
	n.becomeFollower(m.GetTerm(), 0)
	return true
}

// stepOlderTerm rejects a message of an older term, so that the sender learns the current one.
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
		n.recordLeaderContact(m.GetFrom())
	}
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.handlePreVote(m)
	case wire.MessageKind_MESSAGE_KIND_VOTE:
		n.handleVote(m)
	case wire.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		n.handleVoteReply(m)
	case wire.MessageKind_MESSAGE_KIND_APPEND:
		n.handleAppend(m)
	case wire.MessageKind_MESSAGE_KIND_HEARTBEAT:
		n.handleHeartbeat(m)
	case wire.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.handleSnapshot(m)
	case wire.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		n.handleAppendReply(m)
	case wire.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		n.handleHeartbeatReply(m)
	case wire.MessageKind_MESSAGE_KIND_TAKE_OVER:
		n.handleTakeOver()
	}
}
