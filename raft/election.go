package raft

import "daisyswitch/wire"

// election counts the answers to this node's own candidacy.
type election struct {
	granted map[uint64]struct{}
	forced  bool // the leader asked this node to take over, so that its lease does not count
}

// leased says whether a leader may still rely on this node not voting for another.
func (n *Node) leased() bool {
	return n.role == Leader || n.heard < n.electionTicks
}

func (n *Node) preCampaign() {
	n.role, n.leader = PreCandidate, 0
	n.resetTimer()
	n.granted = map[uint64]struct{}{n.id: {}}
	n.forced = false
	if len(n.granted) >= n.quorum() {
		n.campaign()
		return
	}
	n.askVotes(wire.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1)
	n.sendJoin()
}

func (n *Node) campaign() {
	n.role, n.leader = Candidate, 0
	n.setTerm(n.term+1, n.id)
	n.resetTimer()
	n.granted = map[uint64]struct{}{n.id: {}}
	if len(n.granted) >= n.quorum() {
		n.lead()
		return
	}
	n.askVotes(wire.MessageKind_MESSAGE_KIND_VOTE, n.term)
}

func (n *Node) askVotes(kind wire.MessageKind, term uint64) {
	for _, id := range n.others {
		if n.voting[id] {
			n.send(&wire.Message{Kind: kind, To: id, Term: term, Index: n.log.Last(), LogTerm: n.log.LastTerm(), Forced: n.forced})
		}
	}
}

func (n *Node) answerPreVote(m *wire.Message) {
	reply := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.GetFrom(), Term: m.GetTerm()}
	if m.GetTerm() <= n.term || n.leased() || !n.log.UpToDate(m.GetIndex(), m.GetLogTerm()) {
		reply.Term, reply.Reject = n.term, true
	}
	n.send(reply)
}

func (n *Node) answerVote(m *wire.Message) {
	free := n.vote == 0 || n.vote == m.GetFrom()
	grant := free && (!n.leased() || m.GetForced()) && n.log.UpToDate(m.GetIndex(), m.GetLogTerm())
	if grant {
		n.setTerm(n.term, m.GetFrom())
		n.resetTimer()
	}
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.GetFrom(), Term: n.term, Reject: !grant})
}

func (n *Node) countPreVote(m *wire.Message) {
	if n.role != PreCandidate || m.GetTerm() != n.term+1 || !n.voting[m.GetFrom()] {
		return
	}
	n.granted[m.GetFrom()] = struct{}{}
	if len(n.granted) >= n.quorum() {
		n.campaign()
	}
}

func (n *Node) countVote(m *wire.Message) {
	if n.role != Candidate || m.GetReject() || !n.voting[m.GetFrom()] {
		return
	}
	n.granted[m.GetFrom()] = struct{}{}
	if len(n.granted) >= n.quorum() {
		n.lead()
	}
}
