package raft

import (
	"daisyswitch/progress"
	"daisyswitch/wire"
)

// leadership is the part of the state that only a leader uses.
type leadership struct {
	followers       progress.Followers
	termStart       uint64 // index of the leader's first entry
	round           uint64 // last heartbeat round started
	confirmed       uint64 // last heartbeat round that a quorum acknowledged
	ticksSinceRound int    // ticks since the last heartbeat round started
	snapshotIndex   uint64
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.id
	n.followers = progress.Followers{}
	n.syncFollowers()
	n.round, n.confirmed = 0, 0
	n.joining = nil
	n.appendTermStart()
	n.termStart = n.log.Last()
	n.StartRound()
	n.broadcast()
}

// appendLocal appends one entry to the leader's own log; an entry with nil data is a barrier, which is never applied.
func (n *Node) appendLocal(data []byte) {
	n.log.Add(&wire.Entry{Index: n.log.Last() + 1, Term: n.term, Data: data})
}

// Propose appends a batch and returns the index of its first entry; ok is false if the node is not the leader.
func (n *Node) Propose(batch [][]byte) (first uint64, ok bool) {
	if n.role != Leader {
		return 0, false
	}
	first = n.log.Last() + 1
	for _, data := range batch {
		n.appendLocal(data)
	}
	n.broadcast()
	return first, true
}

// StartRound starts a heartbeat round. Once a quorum has acknowledged the round, the node is known to have been the leader when the round started.
func (n *Node) StartRound() {
	n.round++
	n.ticksSinceRound = 0
	for _, id := range n.others {
		f := n.followers[id]
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_HEARTBEAT, To: id, Term: n.term, Round: n.round, Commit: min(f.Match, n.log.Commit), Hint: f.Acked})
	}
	n.confirmRounds()
}

// Round returns the last heartbeat round started in this term.
func (n *Node) Round() uint64 { return n.round }

// Confirmed returns the last heartbeat round that a quorum acknowledged.
func (n *Node) Confirmed() uint64 { return n.confirmed }

// TermStart returns the index of the first entry of the leader's term.
func (n *Node) TermStart() uint64 { return n.termStart }

// Progress returns the index up to which a follower's log is known to match, and whether the follower replied within the election timeout.
func (n *Node) Progress(id uint64) (match uint64, active bool) {
	f := n.followers[id]
	if f == nil {
		return 0, false
	}
	return f.Match, f.Active(n.electionTicks)
}

func (n *Node) tickLeader() {
	n.followers.Tick()
	if !n.followers.Active(n.electionTicks, n.votes) {
		n.stepDown()
		return
	}
	n.ticksSinceRound++
	if n.ticksSinceRound >= n.heartbeatTicks {
		n.StartRound()
	}
}

// LeadsWithoutVote reports whether a committed change has taken this leader's vote, so that a voter should lead instead.
func (n *Node) LeadsWithoutVote() bool {
	return n.role == Leader && !n.votes && n.changes[len(n.changes)-1].index <= n.log.Commit
}

// stepDown gives up leadership after a quorum has stopped replying.
func (n *Node) stepDown() {
	n.becomeFollower(n.term, 0)
	n.ticksSinceLeader = n.electionTicks
}

func (n *Node) broadcast() {
	for _, id := range n.others {
		n.replicate(id)
	}
}

// replicate sends a follower the entries that it lacks, up to the limit on unacknowledged entries.
func (n *Node) replicate(id uint64) {
	f := n.followers[id]
	for f.HasPending(n.log.Last(), maxUnacknowledged) {
		if f.Next <= n.log.Offset {
			n.sendSnapshot(id, f)
			return
		}
		if f.AwaitsProbe() {
			return
		}
		n.sendAppend(id, f)
	}
}

func (n *Node) sendSnapshot(id uint64, f *progress.Follower) {
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id, Term: n.term})
	f.RecordSent(n.snapshotIndex+1, n.round)
	f.Probing = true
}

func (n *Node) sendAppend(id uint64, f *progress.Follower) {
	previous := f.Next - 1
	term, _ := n.log.Term(previous)
	entries := n.batch(f.Next)
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND, To: id, Term: n.term, Index: previous, LogTerm: term, Commit: n.log.Commit, Entries: entries})
	f.RecordSent(f.Next+uint64(len(entries)), n.round)
}

// batch returns the entries starting at first that fit into one message.
func (n *Node) batch(first uint64) []*wire.Entry {
	entries := n.log.Slice(first, min(n.log.Last(), first+maxAppendEntries-1))
	size := 0
	for i, e := range entries {
		size += len(e.GetData())
		if size > maxAppendBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// replyingFollower returns the follower that sent a reply, or nil if the reply comes from a disk that the follower has lost since.
func (n *Node) replyingFollower(m *wire.Message) *progress.Follower {
	if n.role != Leader {
		return nil
	}
	f := n.followers[m.GetFrom()]
	if f == nil || !f.RecordReply(m.GetDisk(), m.GetRecovering()) {
		return nil
	}
	return f
}

func (n *Node) handleAppendReply(m *wire.Message) {
	f := n.replyingFollower(m)
	if f == nil {
		return
	}
	if m.GetReject() {
		if f.Reject(m.GetIndex(), m.GetHint()) {
			n.replicate(m.GetFrom())
		}
		return
	}
	f.Probing = false
	n.recordMatch(m.GetFrom(), f, m.GetIndex())
}

func (n *Node) recordMatch(id uint64, f *progress.Follower, index uint64) {
	f.RecordMatch(index)
	n.advanceCommit()
	n.sendCommit(id, f)
	n.replicate(id)
}

// sendCommit sends the commit index to a follower as soon as the follower holds the entries that it covers.
func (n *Node) sendCommit(id uint64, f *progress.Follower) {
	commit, ok := f.NextCommit(n.log.Commit)
	if !ok {
		return
	}
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_HEARTBEAT, To: id, Term: n.term, Commit: commit})
}

func (n *Node) handleHeartbeatReply(m *wire.Message) {
	f := n.replyingFollower(m)
	if f == nil {
		return
	}
	f.Acked = max(f.Acked, m.GetRound())
	n.confirmRounds()
	f.Resend(m.GetRound(), m.GetIndex())
	n.recordMatch(m.GetFrom(), f, m.GetIndex())
}

// confirmRounds updates the last heartbeat round that a quorum acknowledged.
func (n *Node) confirmRounds() {
	acked := func(f *progress.Follower) uint64 { return f.Acked }
	n.confirmed = max(n.confirmed, n.followers.QuorumValue(n.round, n.votes, acked))
}

// advanceCommit commits the entries that a quorum has on disk, if the last of them is of the current term.
func (n *Node) advanceCommit() {
	match := func(f *progress.Follower) uint64 { return f.Match }
	index := n.followers.QuorumValue(n.log.Synced, n.votes, match)
	if index <= n.log.Commit {
		return
	}
	if term, _ := n.log.Term(index); term != n.term {
		return
	}
	n.log.Commit = index
	for _, id := range n.others {
		n.sendCommit(id, n.followers[id])
	}
}
