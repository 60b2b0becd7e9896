package raft

import (
	"math/rand/v2"

	"daisyswitch/entries"
	"daisyswitch/progress"
	"daisyswitch/wire"
)

// Role is a replica's part in its term.
type Role int

// The roles; a pre-candidate asks whether an election could succeed before it disturbs anyone.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Bounds of one append message and of what is sent ahead of the answers.
const (
	maxAppendEntries = 1024
	maxAppendBytes   = 1 << 20
	maxAhead         = 16 * maxAppendEntries
)

// heartbeatsPerElection is how many heartbeats a leader sends within one election timeout.
const heartbeatsPerElection = 5

// Options is what a node starts from: its group, its timing in ticks, and what its disk held.
type Options struct {
	ID            uint64
	Peers         []uint64 // replicas that vote in a group that has no log yet, its own ID included if it is one of them
	Joins         bool     // blank disks alone never form a group, since there is one already
	ElectionTicks int
	Rand          *rand.Rand
	State         *wire.HardState
	Snapshot      *wire.Snapshot // nil if there is none; only index and term are used
	Entries       []*wire.Entry  // after the snapshot
}

// Ready is what must be done after a step: sync state, snapshot and entries; then send; then apply.
type Ready struct {
	Early    []*wire.Message // may be sent before anything is synced
	State    *wire.HardState // nil if unchanged
	Snapshot *wire.Snapshot  // replaces the log and the state machine, nil if there is none
	Entries  []*wire.Entry   // replace the log from the first one's index on
	Messages []*wire.Message
	Commit   []*wire.Entry // to apply, in order
}

// Empty says whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.State == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Early) == 0 && len(r.Messages) == 0 && len(r.Commit) == 0
}

// Node is one replica's step function; it is not safe for concurrent use.
type Node struct {
	id uint64
	configuration
	forms          bool // whether blank disks alone may form a group
	electionTicks  int
	heartbeatTicks int
	rand           *rand.Rand

	term, vote, disk uint64
	recovering       bool
	stateChanged     bool
	log              entries.Log
	delivered        uint64 // last index handed out to apply
	install          *wire.Snapshot
	messages         []*wire.Message

	role    Role
	leader  uint64
	elapsed int    // ticks of the election timer
	timeout int    // ticks at which the election timer runs out
	heard   int    // ticks since a leader was heard, or since the start
	matched uint64 // last index known to agree with the leader of this term

	election
	leadership
	recovery
}

// New returns a node that continues from what its disk held.
func New(o Options) *Node {
	n := &Node{id: o.ID, electionTicks: o.ElectionTicks, rand: o.Rand, forms: !o.Joins}
	n.heartbeatTicks = max(1, o.ElectionTicks/heartbeatsPerElection)
	n.begin(o)
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

// Ready returns what the steps since the last call ask for; Synced must follow once its records are on disk.
func (n *Node) Ready() Ready {
	r := Ready{Snapshot: n.install, Messages: n.messages}
	n.install, n.messages = nil, nil
	if n.stateChanged {
		r.State = &wire.HardState{Term: n.term, Vote: n.vote, Disk: n.disk, Recovering: n.recovering}
		n.stateChanged = false
	}
	r.Entries = n.log.Slice(n.log.Synced+1, n.log.Last())
	n.stampAll(r.Messages)
	if n.role == Leader && r.State == nil && r.Snapshot == nil {
		r.Early, r.Messages = apart(r.Messages)
	}
	r.Commit = n.deliver()
	return r
}

// apart takes out the appends: a leader counts itself only once its own disk holds them, so that its followers may be quicker.
func apart(messages []*wire.Message) (appends, others []*wire.Message) {
	for _, m := range messages {
		if m.GetKind() == wire.MessageKind_MESSAGE_KIND_APPEND {
			appends = append(appends, m)
			continue
		}
		others = append(others, m)
	}
	return appends, others
}

// deliver hands out what is committed and on this replica's disk.
func (n *Node) deliver() []*wire.Entry {
	end := min(n.log.Commit, n.log.Synced)
	if end <= n.delivered {
		return nil
	}
	entries := n.log.Slice(n.delivered+1, end)
	n.delivered = end
	return entries
}

// Synced says that the records of the last Ready are on disk, so that they count.
func (n *Node) Synced() {
	n.log.Synced = n.log.Last()
	if n.role == Leader {
		n.advanceCommit()
	}
}

func (n *Node) stampAll(messages []*wire.Message) {
	for _, m := range messages {
		m.From, m.Disk, m.Recovering = n.id, n.disk, n.recovering
	}
}

func (n *Node) send(m *wire.Message) {
	n.messages = append(n.messages, m)
}

// Tick advances the node's timers by one.
func (n *Node) Tick() {
	n.heard++
	n.elapsed++
	switch {
	case n.recovering:
		n.tickRecovery()
	case n.role == Leader:
		n.tickLeader()
	case n.elapsed >= n.timeout && !n.votes:
		n.askToJoin()
	case n.elapsed >= n.timeout:
		n.preCampaign()
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

// follow makes the node a follower in a term, of the given leader or of none yet.
func (n *Node) follow(term, leader uint64) {
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

// ID returns the node's own identity.
func (n *Node) ID() uint64 { return n.id }

// Role returns the node's part in its term.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader that the node follows, 0 if it knows of none.
func (n *Node) Leader() uint64 { return n.leader }

// Term returns the node's term.
func (n *Node) Term() uint64 { return n.term }

// Commit returns the index up to which entries are known to be committed.
func (n *Node) Commit() uint64 { return n.log.Commit }

// Last returns the index of the last entry.
func (n *Node) Last() uint64 { return n.log.Last() }

// EntryTerm returns the term of the entry at index, 0 if the log does not hold it.
func (n *Node) EntryTerm(index uint64) uint64 {
	term, _ := n.log.Term(index)
	return term
}

// Recovering says whether the node lost its disk and may not vote yet.
func (n *Node) Recovering() bool { return n.recovering }

// Compact forgets entries up to keepFrom after a snapshot at index was saved.
func (n *Node) Compact(index, keepFrom uint64) {
	n.snapshotIndex = max(n.snapshotIndex, index)
	n.log.Compact(min(index, keepFrom))
	n.forgetBefore(n.log.Offset)
}
