package raft

import (
	"slices"

	"daisyswitch/progress"
	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

// configuration is who belongs to the group, as the node's log says; the last change in the log is in force, committed or not.
type configuration struct {
	changes  []change // ascending by index, never empty
	others   []uint64 // members but the node itself
	voting   map[uint64]bool
	voters   int
	votes    bool                    // whether the node itself votes
	contacts []uint64                // replicas outside the group, or that may be, which are asked to join it
	joining  map[uint64]*wire.Member // on the leader: replicas that asked to join
}

// change is a group as of an entry; index 0 is the group that the settings name.
type change struct {
	index   uint64
	members *wire.Members
}

// begin takes the group from the snapshot and the log, or else from the settings.
func (n *Node) begin(o Options) {
	first := &wire.Members{}
	for _, id := range o.Peers {
		first.Members = append(first.Members, &wire.Member{Id: id, Votes: true})
	}
	n.changes = []change{{0, first}}
	if o.Snapshot.GetMembers() != nil {
		n.changes = []change{{o.Snapshot.GetIndex(), o.Snapshot.GetMembers()}}
	}
	for _, e := range o.Entries {
		if e.GetMembers() != nil {
			n.changes = append(n.changes, change{e.GetIndex(), e.GetMembers()})
		}
	}
	n.useMembers()
}

// Alone says whether the node is the only voter.
func (n *Node) Alone() bool { return n.votes && n.voters == 1 }

// Members returns the group in force.
func (n *Node) Members() *wire.Members {
	return n.changes[len(n.changes)-1].members
}

// useMembers works out what follows from the group in force.
func (n *Node) useMembers() {
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
		n.setFollowers()
	}
}

// setFollowers keeps a follower for each other member.
func (n *Node) setFollowers() {
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

// mergeMembers takes over changes of the group from a leader's entries; firstNew is the index from which the log has changed, 0 if it has not.
func (n *Node) mergeMembers(entries []*wire.Entry, firstNew uint64) {
	if firstNew == 0 {
		return
	}
	for len(n.changes) > 1 && n.changes[len(n.changes)-1].index >= firstNew {
		n.changes = n.changes[:len(n.changes)-1]
	}
	for _, e := range entries {
		if e.GetIndex() >= firstNew && e.GetMembers() != nil {
			n.changes = append(n.changes, change{e.GetIndex(), e.GetMembers()})
		}
	}
	n.useMembers()
}

// resetMembers takes the group from a snapshot.
func (n *Node) resetMembers(index uint64, members *wire.Members) {
	if members == nil {
		return
	}
	n.changes = []change{{index, members}}
	n.useMembers()
}

// forgetBefore drops changes that later ones before index replace.
func (n *Node) forgetBefore(index uint64) {
	for len(n.changes) > 1 && n.changes[1].index <= index {
		n.changes = n.changes[1:]
	}
}

// appendFirst adds the first entry of a leadership; the first of all records the group that the settings name.
func (n *Node) appendFirst() {
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
	n.changes = append(n.changes, change{index, members})
	n.useMembers()
}

// Reconfigure puts another group in force, which must differ from the last in one voter at most; it returns false while that is not possible.
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

// SetContacts names replicas that are asked to join the group besides its members.
func (n *Node) SetContacts(ids []uint64) {
	n.contacts = ids
}

// meet adds the members of a group to those that are asked to join it.
func (n *Node) meet(members *wire.Members) {
	for _, m := range members.GetMembers() {
		if !slices.Contains(n.contacts, m.GetId()) {
			n.contacts = append(n.contacts, m.GetId())
		}
	}
}

// known returns all other replicas that the node knows of.
func (n *Node) known() []uint64 {
	all := slices.Clone(n.others)
	for _, id := range n.contacts {
		if id != n.id && !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// askToJoin is what a replica does that hears no leader and has no vote.
func (n *Node) askToJoin() {
	n.leader = 0
	n.resetTimer()
	n.sendJoin()
}

func (n *Node) sendJoin() {
	for _, id := range n.known() {
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_JOIN, To: id})
	}
}

// noteJoin keeps the wish of a replica outside the group, on the leader; others say who belongs to it.
func (n *Node) noteJoin(m *wire.Message) {
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

// Standing is a leader's view of one other replica.
type Standing struct {
	*wire.Member
	Match   uint64 // last index that its log is known to agree with
	Silent  int    // ticks since it answered
	Repairs bool   // it lost its disk and does not count yet
}

// Standings returns the leader's view of the other members, and the replicas that ask to join; nil if the node does not lead.
func (n *Node) Standings() (members []Standing, joining []*wire.Member) {
	if n.role != Leader {
		return nil, nil
	}
	for _, m := range n.Members().GetMembers() {
		if f := n.followers[m.GetId()]; f != nil {
			members = append(members, Standing{Member: m, Match: f.Match, Silent: f.Silent(), Repairs: !f.Voter})
		}
	}
	for _, m := range n.joining {
		joining = append(joining, proto.CloneOf(m))
	}
	slices.SortFunc(joining, func(a, b *wire.Member) int { return int(min(1, max(-1, int64(a.GetId()>>1)-int64(b.GetId()>>1)))) })
	return members, joining
}

// HandOver asks the voter that holds the whole log to lead at once, and returns false if there is none.
func (n *Node) HandOver() bool {
	if n.role != Leader {
		return false
	}
	for _, id := range n.others {
		f := n.followers[id]
		if f.Votes && f.Voter && f.Match == n.log.Last() && f.Active(n.electionTicks) {
			n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_TAKE_OVER, To: id, Term: n.term})
			return true
		}
	}
	return false
}

// takeOver campaigns at once, since the leader asked for it.
func (n *Node) takeOver() {
	if !n.votes || n.recovering {
		return
	}
	n.forced = true
	n.campaign()
}
