package raft

import (
	"math/rand/v2"

	"daisyswitch/entries"
	"daisyswitch/progress"
	"daisyswitch/wire"
)

// Role is a replica's role in its current term.
type Role int

// The roles. A pre-candidate asks whether it could win an election before it increments the term, so a failed attempt disrupts no leader.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Limits of one append message and of the entries sent before earlier ones are acknowledged.
const (
	maxAppendEntries  = 1024
	maxAppendBytes    = 1 << 20
	maxUnacknowledged = 16 * maxAppendEntries
)

// heartbeatsPerElection is how many heartbeats a leader sends within one election timeout.
const heartbeatsPerElection = 5

// Options configures a node: its group, its timing in ticks, and the state loaded from its disk.
type Options struct {
	ID            uint64
	Peers         []uint64 // voters of a group that has no log yet; includes the node's own ID if it is one of them
	Joins         bool     // the group exists already, so replicas with blank disks never form one
	ElectionTicks int
	Rand          *rand.Rand
	State         *wire.HardState
	Snapshot      *wire.Snapshot // nil if there is none; the data is not used
	Entries       []*wire.Entry  // the entries after the snapshot
}

// Ready holds the work that must be done after a step, in this order: sync the state, snapshot and entries, send the messages, apply the committed entries.
type Ready struct {
	EarlyMessages []*wire.Message // may be sent before the records are synced
	State         *wire.HardState // nil if unchanged
	Snapshot      *wire.Snapshot  // replaces the log and the state machine; nil if there is none
	Entries       []*wire.Entry   // replace the log starting at the first one's index
	Messages      []*wire.Message
	Commit        []*wire.Entry // committed entries to apply, in order
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.State == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.EarlyMessages) == 0 && len(r.Messages) == 0 && len(r.Commit) == 0
}

// Node is the Raft state of one replica; it is not safe for concurrent use.
type Node struct {
	id uint64
	groupMembers
	mayBootstrap   bool // whether replicas with blank disks may form a group
	electionTicks  int
	heartbeatTicks int
	rand           *rand.Rand

	term, vote, disk uint64
	recovering       bool
	stateChanged     bool
	log              entries.Log
	delivered        uint64 // last index returned by Ready for applying
	pendingSnapshot  *wire.Snapshot
	messages         []*wire.Message

	role             Role
	leader           uint64
	elapsed          int    // ticks since the election timer was reset
	timeout          int    // ticks after which the election timer expires
	ticksSinceLeader int    // ticks since the last message from a leader, or since the start
	matched          uint64 // last index known to match the log of this term's leader

	election
	leadership
	recovery
}

// New returns a node that continues from the state loaded from its disk.
func New(o Options) *Node {
	n := &Node{id: o.ID, electionTicks: o.ElectionTicks, rand: o.Rand, mayBootstrap: !o.Joins}
	n.heartbeatTicks = max(1, o.ElectionTicks/heartbeatsPerElection)
	n.initMembers(o)
	n.term, n.vote, n.disk, n.recovering = o.State.GetTerm(), o.State.GetVote(), o.State.GetDisk(), o.State.GetRecovering()
	if o.Snapshot != nil {
		n.log.Reset(o.Snapshot.GetIndex(), o.Snapshot.GetTerm())
	}
	n.snapshotIndex = n.log.Offset
	n.delivered = n.log.Offset
	n.log.Add(o.Entries...)
	n.log.Synced = n.log.Last()
	n.resetTimer()
	if n.recovering {
		n.recover()
	}
	return n
}

// Ready returns the work that has accumulated since the last call; the caller must call Synced once its records are on disk.
func (n *Node) Ready() Ready {
	r := Ready{Snapshot: n.pendingSnapshot, Messages: n.messages}
	n.pendingSnapshot, n.messages = nil, nil
	if n.stateChanged {
		r.State = &wire.HardState{Term: n.term, Vote: n.vote, Disk: n.disk, Recovering: n.recovering}
		n.stateChanged = false
	}
	r.Entries = n.log.Slice(n.log.Synced+1, n.log.Last())
	n.stampSender(r.Messages)
	if n.role == Leader && r.State == nil && r.Snapshot == nil {
		r.EarlyMessages, r.Messages = splitAppends(r.Messages)
	}
	r.Commit = n.nextCommitted()
	return r
}

// splitAppends separates the appends from the other messages. A leader may send appends before its own sync, since it counts itself only once its own disk holds the entries.
func splitAppends(messages []*wire.Message) (appends, others []*wire.Message) {
	for _, m := range messages {
		if m.GetKind() == wire.MessageKind_MESSAGE_KIND_APPEND {
			appends = append(appends, m)
			continue
		}
		others = append(others, m)
	}
	return appends, others
}

// nextCommitted returns the entries to apply next: those committed and on this replica's disk.
func (n *Node) nextCommitted() []*wire.Entry {
	end := min(n.log.Commit, n.log.Synced)
	if end <= n.delivered {
		return nil
	}
	entries := n.log.Slice(n.delivered+1, end)
	n.delivered = end
	return entries
}

// Synced reports to the node that the records of the last Ready are on disk, so they count towards a quorum.
func (n *Node) Synced() {
	n.log.Synced = n.log.Last()
	if n.role == Leader {
		n.advanceCommit()
	}
}

func (n *Node) stampSender(messages []*wire.Message) {
	for _, m := range messages {
		m.From, m.Disk, m.Recovering = n.id, n.disk, n.recovering
	}
}

func (n *Node) send(m *wire.Message) {
	n.messages = append(n.messages, m)
}

// Tick advances the node's timers by one.
func (n *Node) Tick() {
	n.ticksSinceLeader++
	n.elapsed++
	switch {
	case n.recovering:
		n.tickRecovery()
	case n.role == Leader:
		n.tickLeader()
	case n.elapsed >= n.timeout && !n.mayCampaign():
		n.requestJoin()
	case n.elapsed >= n.timeout:
		n.startPreVote()
	}
}

func (n *Node) resetTimer() {
	n.elapsed = 0
	n.timeout = n.electionTicks + n.rand.IntN(n.electionTicks)
}

func (n *Node) setTerm(term, vote uint64) {
	if term != n.term {
		n.matched = 0
	}
	n.term, n.vote = term, vote
	n.stateChanged = true
}

// becomeFollower makes the node a follower in a term; leader is 0 if the term's leader is not known yet.
func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.setTerm(term, 0)
	}
	n.role, n.leader = Follower, leader
	n.followers = nil
	n.resetTimer()
}

func (n *Node) quorum() int {
	return progress.Quorum(n.voters)
}

// ID returns the node's own ID.
func (n *Node) ID() uint64 { return n.id }

// Role returns the node's role in its current term.
func (n *Node) Role() Role { return n.role }

// Leader returns the ID of the current leader, or 0 if it is unknown.
func (n *Node) Leader() uint64 { return n.leader }

// Term returns the node's current term.
func (n *Node) Term() uint64 { return n.term }

// Commit returns the index up to which entries are known to be committed.
func (n *Node) Commit() uint64 { return n.log.Commit }

// Last returns the index of the last entry.
func (n *Node) Last() uint64 { return n.log.Last() }

// EntryTerm returns the term of the entry at index, or 0 if the log does not hold it.
func (n *Node) EntryTerm(index uint64) uint64 {
	term, _ := n.log.Term(index)
	return term
}

// Recovering reports whether the node started with a blank disk and may not vote yet.
func (n *Node) Recovering() bool { return n.recovering }

// TailBefore returns the index after which the last entries up to index begin that are at most count and have at most the given bytes.
func (n *Node) TailBefore(index, count, bytes uint64) uint64 {
	return n.log.TailBefore(index, count, bytes)
}

// Compact removes the entries up to keepFrom, but none after index, once a snapshot at index was saved.
func (n *Node) Compact(index, keepFrom uint64) {
	n.snapshotIndex = max(n.snapshotIndex, index)
	n.log.Compact(min(index, keepFrom))
	n.compactChanges(n.log.Offset)
}
