package raft

import "daisyswitch/wire"

// hear notes a message of the term's leader.
func (n *Node) hear(leader uint64) {
	if n.role == Leader {
		panic("raft: two leaders in one term")
	}
	n.role, n.leader = Follower, leader
	if n.recovering && n.vote != leader {
		n.setTerm(n.term, leader)
	}
	n.heard = 0
	n.resetTimer()
}

func (n *Node) takeAppend(m *wire.Message) {
	reply := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Term: n.term}
	defer n.send(reply)
	previous := m.GetIndex()
	if previous < n.log.Offset {
		// What lies before the offset is committed, so it agrees.
		previous = n.log.Offset
	} else if term, ok := n.log.Term(previous); !ok || term != m.GetLogTerm() {
		reply.Reject, reply.Index = true, previous
		reply.Hint = n.log.Last()
		if ok {
			reply.Hint = n.log.Conflict(previous)
		}
		return
	}
	n.mergeMembers(m.GetEntries(), n.log.Merge(m.GetEntries()))
	end := m.GetIndex() + uint64(len(m.GetEntries()))
	n.matched = max(n.matched, end, previous)
	reply.Index = n.matched
	n.commitTo(m.GetCommit())
}

// commitTo takes over the leader's commit index as far as the log is known to agree with the leader's.
func (n *Node) commitTo(commit uint64) {
	commit = min(commit, n.matched)
	if commit <= n.log.Commit {
		return
	}
	n.log.Commit = commit
	n.endRecovery()
}

// takeHeartbeat answers a round; round 0 only carries a commit index.
func (n *Node) takeHeartbeat(m *wire.Message) {
	n.commitTo(m.GetCommit())
	if m.GetRound() == 0 {
		return
	}
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.GetFrom(), Term: n.term, Round: m.GetRound(), Index: n.matched})
}

func (n *Node) takeSnapshot(m *wire.Message) {
	reply := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Term: n.term}
	defer n.send(reply)
	if m.GetIndex() > n.log.Commit {
		n.takeState(m)
	}
	// What is committed agrees with the leader's log.
	n.matched = max(n.matched, m.GetIndex())
	reply.Index = n.matched
	n.endRecovery()
}

func (n *Node) takeState(m *wire.Message) {
	if term, ok := n.log.Term(m.GetIndex()); ok && term == m.GetLogTerm() {
		// The log holds it all; only the commit index was behind.
		n.log.Commit = m.GetIndex()
		return
	}
	n.log.Reset(m.GetIndex(), m.GetLogTerm())
	n.delivered = m.GetIndex()
	n.snapshotIndex = m.GetIndex()
	n.install = &wire.Snapshot{Index: m.GetIndex(), Term: m.GetLogTerm(), Data: m.GetSnapshot(), Members: m.GetMembers()}
	n.resetMembers(m.GetIndex(), m.GetMembers())
}
