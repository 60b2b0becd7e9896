package raft

import "daisyswitch/wire"

// recordLeaderContact makes the node a follower of the term's leader and restarts the election timer.
func (n *Node) recordLeaderContact(leader uint64) {
	if n.role == Leader {
		panic("raft: two leaders in one term")
	}
	n.role, n.leader = Follower, leader
	if n.recovering && n.vote != leader {
		n.setTerm(n.term, leader)
	}
	n.ticksSinceLeader = 0
	n.resetTimer()
}

func (n *Node) handleAppend(m *wire.Message) {
	reply := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Term: n.term}
	defer n.send(reply)
	previous := m.GetIndex()
	if previous < n.log.Offset {
		// Entries before the offset are committed, so they match the leader's.
		previous = n.log.Offset
	} else if term, ok := n.log.Term(previous); !ok || term != m.GetLogTerm() {
		reply.Reject, reply.Index = true, previous
		reply.Hint = n.log.Last()
		if ok {
			reply.Hint = n.log.ConflictHint(previous)
		}
		return
	}
	n.mergeMembers(m.GetEntries(), n.log.Merge(m.GetEntries()))
	end := m.GetIndex() + uint64(len(m.GetEntries()))
	n.matched = max(n.matched, end, previous)
	reply.Index = n.matched
	n.commitTo(m.GetCommit())
}

// commitTo advances the commit index to the leader's, but not beyond the index up to which the logs are known to match.
func (n *Node) commitTo(commit uint64) {
	commit = min(commit, n.matched)
	if commit <= n.log.Commit {
		return
	}
	n.log.Commit = commit
	n.tryEndRecovery()
}

// handleHeartbeat replies to a heartbeat round; round 0 only carries a commit index and gets no reply.
func (n *Node) handleHeartbeat(m *wire.Message) {
	n.commitTo(m.GetCommit())
	if m.GetRound() == 0 {
		return
	}
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.GetFrom(), Term: n.term, Round: m.GetRound(), Index: n.matched})
}

func (n *Node) handleSnapshot(m *wire.Message) {
	reply := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Term: n.term}
	defer n.send(reply)
	if m.GetIndex() > n.log.Commit {
		n.installSnapshot(m)
	}
	// Committed entries match the leader's log.
	n.matched = max(n.matched, m.GetIndex())
	reply.Index = n.matched
	n.tryEndRecovery()
}

func (n *Node) installSnapshot(m *wire.Message) {
	if term, ok := n.log.Term(m.GetIndex()); ok && term == m.GetLogTerm() {
		// The log already holds all entries of the snapshot; only the commit index was behind.
		n.log.Commit = m.GetIndex()
		return
	}
	n.log.Reset(m.GetIndex(), m.GetLogTerm())
	n.delivered = m.GetIndex()
	n.snapshotIndex = m.GetIndex()
	n.pendingSnapshot = &wire.Snapshot{Index: m.GetIndex(), Term: m.GetLogTerm(), Data: m.GetSnapshot(), Members: m.GetMembers()}
	n.resetMembers(m.GetIndex(), m.GetMembers())
}
