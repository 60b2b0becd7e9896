package raft

import "daisyswitch/wire"

// election holds the votes that this node has received as a candidate or pre-candidate.
type election struct {
	granted map[uint64]struct{}
	forced  bool // the leader asked this node to take over, so voters disregard the leader's lease
}

// leaseActive reports whether a leader may still rely on this node not voting for another candidate.
func (n *Node) leaseActive() bool {
	return n.role == Leader || n.ticksSinceLeader < n.electionTicks
}

// mayCampaign reports whether the node votes in the active membership, or did in one that no change known to be committed has replaced.
// A replica whose vote an uncommitted change takes may hold the longest log of a quorum of the former members, which then elect no other.
func (n *Node) mayCampaign() bool {
	for i := len(n.changes) - 1; i >= 0; i-- {
		if n.changes[i].grantsVote(n.id) {
			return true
		}
		if n.changes[i].index <= n.log.Commit {
			return false
		}
	}
	return false
}

// countOwnVote starts counting votes for this node with its own, if it votes in the active membership.
func (n *Node) countOwnVote() {
	n.granted = map[uint64]struct{}{}
	if n.votes {
		n.granted[n.id] = struct{}{}
	}
}

func (n *Node) startPreVote() {
	n.role, n.leader = PreCandidate, 0
	n.resetTimer()
	n.countOwnVote()
	n.forced = false
	if len(n.granted) >= n.quorum() {
		n.startElection()
		return
	}
	n.requestVotes(wire.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1)
	n.sendJoin()
}

func (n *Node) startElection() {
	n.role, n.leader = Candidate, 0
	n.setTerm(n.term+1, n.id)
	n.resetTimer()
	n.countOwnVote()
	if len(n.granted) >= n.quorum() {
		n.becomeLeader()
		return
	}
	n.requestVotes(wire.MessageKind_MESSAGE_KIND_VOTE, n.term)
}

func (n *Node) requestVotes(kind wire.MessageKind, term uint64) {
	for _, id := range n.others {
		if n.voting[id] {
			n.send(&wire.Message{Kind: kind, To: id, Term: term, Index: n.log.Last(), LogTerm: n.log.LastTerm(), Forced: n.forced})
		}
	}
}

func (n *Node) handlePreVote(m *wire.Message) {
	reply := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.GetFrom(), Term: m.GetTerm()}
	if m.GetTerm() <= n.term || n.leaseActive() || !n.log.CandidateUpToDate(m.GetIndex(), m.GetLogTerm()) {
		reply.Term, reply.Reject = n.term, true
	} else if n.role == PreCandidate && n.givesWayTo(m) {
		n.role = Follower
	}
	n.send(reply)
}

// givesWayTo reports whether this node's campaign ends in favor of the sender of a pre-vote that it grants, so that replicas whose timers expire together do not each vote for themselves.
// The more up-to-date log goes first, then the higher ID. The timer runs on, so this node campaigns again if the sender is not elected.
func (n *Node) givesWayTo(m *wire.Message) bool {
	if !n.voting[m.GetFrom()] {
		return false
	}
	same := m.GetIndex() == n.log.Last() && m.GetLogTerm() == n.log.LastTerm()
	return !same || m.GetFrom() > n.id
}

func (n *Node) handleVote(m *wire.Message) {
	free := n.vote == 0 || n.vote == m.GetFrom()
	grant := free && (!n.leaseActive() || m.GetForced()) && n.log.CandidateUpToDate(m.GetIndex(), m.GetLogTerm())
	if grant {
		n.setTerm(n.term, m.GetFrom())
		n.resetTimer()
	}
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.GetFrom(), Term: n.term, Reject: !grant})
}

func (n *Node) handlePreVoteReply(m *wire.Message) {
	if n.role != PreCandidate || m.GetTerm() != n.term+1 || !n.voting[m.GetFrom()] {
		return
	}
	n.granted[m.GetFrom()] = struct{}{}
	if len(n.granted) >= n.quorum() {
		n.startElection()
	}
}

func (n *Node) handleVoteReply(m *wire.Message) {
	if n.role != Candidate || m.GetReject() || !n.voting[m.GetFrom()] {
		return
	}
	n.granted[m.GetFrom()] = struct{}{}
	if len(n.granted) >= n.quorum() {
		n.becomeLeader()
	}
}
