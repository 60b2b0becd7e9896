package raft

import (
	"slices"

	"daisyswitch/progress"
	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

// groupMembers holds the group's membership according to the node's log; the last change in the log is active, committed or not.
type groupMembers struct {
	changes  []memberChange // in ascending order of index, never empty
	others   []uint64       // all members except the node itself
	voting   map[uint64]bool
	voters   int
	votes    bool                    // whether the node itself is a voter
	contacts []uint64                // replicas outside the group, or possibly outside it, to which join requests are sent as well
	joining  map[uint64]*wire.Member // on the leader: replicas that have asked to join
}

// memberChange is the membership as of a log entry; index 0 stands for the group named in the settings.
type memberChange struct {
	index   uint64
	members *wire.Members
}

func (c memberChange) grantsVote(id uint64) bool {
	return slices.ContainsFunc(c.members.GetMembers(), func(m *wire.Member) bool { return m.GetId() == id && m.GetVotes() })
}

// initMembers reads the membership from the snapshot and the log, or else from the settings.
func (n *Node) initMembers(o Options) {
	first := &wire.Members{}
	for _, id := range o.Peers {
		first.Members = append(first.Members, &wire.Member{Id: id, Votes: true})
	}
	n.changes = []memberChange{{0, first}}
	if o.Snapshot.GetMembers() != nil {
		n.changes = []memberChange{{o.Snapshot.GetIndex(), o.Snapshot.GetMembers()}}
	}
	for _, e := range o.Entries {
		if e.GetMembers() != nil {
			n.changes = append(n.changes, memberChange{e.GetIndex(), e.GetMembers()})
		}
	}
	n.activateMembers()
}

// SoleVoter reports whether the node is the only voter.
func (n *Node) SoleVoter() bool { return n.votes && n.voters == 1 }

// Members returns the active membership.
func (n *Node) Members() *wire.Members {
	return n.changes[len(n.changes)-1].members
}

// activateMembers recomputes the fields that are derived from the active membership.
func (n *Node) activateMembers() {
	n.others, n.voters, n.votes = nil, 0, false
	n.voting = map[uint64]bool{}
	for _, m := range n.Members().GetMembers() {
		if m.GetVotes() {
			n.voters++
			n.voting[m.GetId()] = true
		}
		if m.GetId() == n.id {
			n.votes = m.GetVotes()
			continue
		}
		n.others = append(n.others, m.GetId())
	}
	if n.role == Leader {
		n.syncFollowers()
	}
}

// syncFollowers keeps exactly one follower for each other member.
func (n *Node) syncFollowers() {
	for id := range n.followers {
		if !slices.Contains(n.others, id) {
			delete(n.followers, id)
		}
	}
	for _, id := range n.others {
		if n.followers[id] == nil {
			n.followers[id] = progress.New(n.log.Last() + 1)
		}
		n.followers[id].Votes = n.voting[id]
	}
}

// mergeMembers applies membership changes from a leader's entries; firstNew is the index from which the log has changed, or 0 if it has not changed.
func (n *Node) mergeMembers(entries []*wire.Entry, firstNew uint64) {
	if firstNew == 0 {
		return
	}
	for len(n.changes) > 1 && n.changes[len(n.changes)-1].index >= firstNew {
		n.changes = n.changes[:len(n.changes)-1]
	}
	for _, e := range entries {
		if e.GetIndex() >= firstNew && e.GetMembers() != nil {
			n.changes = append(n.changes, memberChange{e.GetIndex(), e.GetMembers()})
		}
	}
	n.activateMembers()
}

// resetMembers replaces the membership by that of a snapshot.
func (n *Node) resetMembers(index uint64, members *wire.Members) {
	if members == nil {
		return
	}
	n.changes = []memberChange{{index, members}}
	n.activateMembers()
}

// compactChanges drops changes that are superseded by a later change at or before index.
func (n *Node) compactChanges(index uint64) {
	for len(n.changes) > 1 && n.changes[1].index <= index {
		n.changes = n.changes[1:]
	}
}

// appendTermStart appends the first entry of a leader's term; the first one in the log records the group named in the settings.
func (n *Node) appendTermStart() {
	last := n.changes[len(n.changes)-1]
	if last.index > 0 {
		n.appendLocal(nil)
		return
	}
	n.appendMembers(last.members)
}

func (n *Node) appendMembers(members *wire.Members) {
	index := n.log.Last() + 1
	n.log.Add(&wire.Entry{Index: index, Term: n.term, Members: members})
	n.changes = append(n.changes, memberChange{index, members})
	n.activateMembers()
}

// Reconfigure appends a new membership, which becomes active at once and must differ from the last by at most one voter. It returns false if the node is not the leader or an earlier change is not committed yet.
func (n *Node) Reconfigure(members *wire.Members) bool {
	last := n.changes[len(n.changes)-1]
	if n.role != Leader || n.log.Commit < n.termStart || last.index > n.log.Commit {
		return false
	}
	n.appendMembers(members)
	for _, m := range members.GetMembers() {
		delete(n.joining, m.GetId())
	}
	n.broadcast()
	return true
}

// SetContacts sets the replicas to which join requests are sent besides the group's members.
func (n *Node) SetContacts(ids []uint64) {
	n.contacts = ids
}

// addContacts adds the members of a group to the replicas to which join requests are sent.
func (n *Node) addContacts(members *wire.Members) {
	for _, m := range members.GetMembers() {
		if !slices.Contains(n.contacts, m.GetId()) {
			n.contacts = append(n.contacts, m.GetId())
		}
	}
}

// knownReplicas returns the IDs of all other replicas known to this node.
func (n *Node) knownReplicas() []uint64 {
	all := slices.Clone(n.others)
	for _, id := range n.contacts {
		if id != n.id && !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// requestJoin is called when a replica that may not campaign has not heard from a leader within the election timeout.
func (n *Node) requestJoin() {
	n.leader = 0
	n.resetTimer()
	n.sendJoin()
}

func (n *Node) sendJoin() {
	for _, id := range n.knownReplicas() {
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_JOIN, To: id})
	}
}

// handleJoin records, on the leader, a join request of a replica outside the group; other replicas reply with the membership.
func (n *Node) handleJoin(m *wire.Message) {
	member := slices.Contains(n.others, m.GetFrom())
	switch {
	case n.role == Leader && !member:
		if n.joining == nil {
			n.joining = map[uint64]*wire.Member{}
		}
		n.joining[m.GetFrom()] = &wire.Member{Id: m.GetFrom(), Address: m.GetAddress(), Domain: m.GetDomain()}
	case n.role != Leader && m.GetKind() == wire.MessageKind_MESSAGE_KIND_JOIN:
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_MEMBERS, To: m.GetFrom(), Members: n.Members()})
	}
}

// MemberProgress is the leader's view of one other replica.
type MemberProgress struct {
	*wire.Member
	Match      uint64 // last index up to which its log is known to match
	Silent     int    // ticks since it last replied
	Recovering bool   // it lost its disk and does not count towards a quorum yet
}

// MembersAndJoining returns the leader's view of the other members, and the replicas that have asked to join; both are nil if the node is not the leader.
func (n *Node) MembersAndJoining() (members []MemberProgress, joining []*wire.Member) {
	if n.role != Leader {
		return nil, nil
	}
	for _, m := range n.Members().GetMembers() {
		if f := n.followers[m.GetId()]; f != nil {
			members = append(members, MemberProgress{Member: m, Match: f.Match, Silent: f.Silent(), Recovering: !f.CountsForQuorum})
		}
	}
	for _, m := range n.joining {
		joining = append(joining, proto.CloneOf(m))
	}
	slices.SortFunc(joining, func(a, b *wire.Member) int { return int(min(1, max(-1, int64(a.GetId()>>1)-int64(b.GetId()>>1)))) })
	return members, joining
}

// TransferLeadership asks a voter that holds the whole log to start an election at once, and returns false if there is no such voter.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	for _, id := range n.others {
		f := n.followers[id]
		if f.Votes && f.CountsForQuorum && f.Match == n.log.Last() && f.Active(n.electionTicks) {
			n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_TAKE_OVER, To: id, Term: n.term})
			return true
		}
	}
	return false
}

// TakeOverMessage returns a message that asks the active voter with most of the log to start an election at once, or nil if the node is not the leader or no other voter is active. Unlike TransferLeadership it is for a leader that cannot go on.
func (n *Node) TakeOverMessage() *wire.Message {
	var next uint64
	if n.role != Leader {
		return nil
	}
	for _, id := range n.others {
		f := n.followers[id]
		if f.Votes && f.CountsForQuorum && f.Active(n.electionTicks) && (next == 0 || f.Match > n.followers[next].Match) {
			next = id
		}
	}
	if next == 0 {
		return nil
	}
	return &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_TAKE_OVER, To: next, Term: n.term, From: n.id, Disk: n.disk}
}

// handleTakeOver starts an election at once at the leader's request.
func (n *Node) handleTakeOver() {
	if !n.votes || n.recovering {
		return
	}
	n.forced = true
	n.startElection()
}
