package raft

import (
	"slices"

	"daisyswitch/wire"
)

// progress is what a leader knows of one follower.
type progress struct {
	match, next uint64
	told        uint64 // commit index that it was last told
	probing     bool   // one append at a time until one agrees
	base        uint64 // next before the unanswered probe
	silent      int    // ticks since it answered
	acked       uint64 // last heartbeat round that it answered
	sent        uint64 // round in force when the last append or snapshot was sent, 0 if none is unanswered
	disk        uint64 // identity of the data folder that its answers speak for
	retired     []uint64
	voter       bool   // counts for a quorum
	barrier     uint64 // index that must be committed without it before it votes again
}

// leadership is the part of the state that only a leader uses.
type leadership struct {
	progress      map[uint64]*progress
	termStart     uint64 // index of the leader's first entry
	round         uint64 // last heartbeat round begun
	confirmed     uint64 // last heartbeat round that a quorum answered
	sinceRound    int    // ticks
	snapshotIndex uint64
}

func (n *Node) lead() {
	n.role, n.leader = Leader, n.id
	n.progress = map[uint64]*progress{}
	for _, id := range n.others {
		n.progress[id] = &progress{next: n.log.Last() + 1, voter: true, probing: true}
	}
	n.round, n.confirmed = 0, 0
	n.appendLocal(nil)
	n.termStart = n.log.Last()
	n.StartRound()
	n.broadcast()
}

// appendLocal adds one entry to the leader's own log; nil data is a barrier that is never applied.
func (n *Node) appendLocal(data []byte) {
	n.log.Add(&wire.Entry{Index: n.log.Last() + 1, Term: n.term, Data: data})
}

// Propose appends a batch and returns the index of its first entry; ok is false if the node does not lead.
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

// StartRound begins a heartbeat round; once it is confirmed, the node was still the leader when it began.
func (n *Node) StartRound() {
	n.round++
	n.sinceRound = 0
	for _, id := range n.others {
		p := n.progress[id]
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_HEARTBEAT, To: id, Term: n.term, Round: n.round, Commit: min(p.match, n.log.Commit), Hint: p.acked})
	}
	n.confirmRounds()
}

// Round returns the last heartbeat round begun in this term.
func (n *Node) Round() uint64 { return n.round }

// Confirmed returns the last heartbeat round that a quorum answered.
func (n *Node) Confirmed() uint64 { return n.confirmed }

// TermStart returns the index of the first entry of the leader's term.
func (n *Node) TermStart() uint64 { return n.termStart }

// Progress returns how far a follower's log is known to agree, and whether it answered within the election timeout.
func (n *Node) Progress(id uint64) (match uint64, active bool) {
	p := n.progress[id]
	if p == nil {
		return 0, false
	}
	return p.match, p.silent < n.electionTicks
}

func (n *Node) tickLeader() {
	active := 1
	for _, p := range n.progress {
		p.silent++
		if p.voter && p.silent < n.electionTicks {
			active++
		}
	}
	if active < n.quorum() {
		n.stepDown()
		return
	}
	n.sinceRound++
	if n.sinceRound >= n.heartbeatTicks {
		n.StartRound()
	}
}

// stepDown ends a leadership that no quorum answers any more.
func (n *Node) stepDown() {
	n.follow(n.term, 0)
	n.heard = n.electionTicks
}

func (n *Node) broadcast() {
	for _, id := range n.others {
		n.replicate(id)
	}
}

// replicate sends a follower what it lacks, as far ahead of its answers as the bounds allow.
func (n *Node) replicate(id uint64) {
	p := n.progress[id]
	for p.next <= n.log.Last() && p.next <= p.match+maxAhead {
		if p.next <= n.log.Offset {
			n.sendSnapshot(id, p)
			return
		}
		if p.probing && p.sent > 0 {
			return
		}
		n.sendAppend(id, p)
	}
}

func (n *Node) sendSnapshot(id uint64, p *progress) {
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id, Term: n.term})
	p.base, p.next = p.next, n.snapshotIndex+1
	p.sent = n.round
	p.probing = true
}

func (n *Node) sendAppend(id uint64, p *progress) {
	previous := p.next - 1
	term, _ := n.log.Term(previous)
	entries := n.batch(p.next)
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND, To: id, Term: n.term, Index: previous, LogTerm: term, Commit: n.log.Commit, Entries: entries})
	p.base = p.next
	p.next += uint64(len(entries))
	p.sent = n.round
}

// batch returns the entries from first on that fit into one message.
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

// answered returns the progress that a reply speaks for, nil if it speaks for a disk that is no more.
func (n *Node) answered(m *wire.Message) *progress {
	if n.role != Leader {
		return nil
	}
	p := n.progress[m.GetFrom()]
	if p.disk == 0 {
		p.disk = m.GetDisk()
	}
	if p.disk != m.GetDisk() {
		return nil
	}
	p.silent = 0
	p.voter = !m.GetRecovering()
	return p
}

func (n *Node) countAppend(m *wire.Message) {
	p := n.answered(m)
	if p == nil {
		return
	}
	if m.GetReject() {
		n.back(m, p)
		return
	}
	p.probing = false
	n.agree(m.GetFrom(), p, m.GetIndex())
}

// back moves a follower's next append to where its log may agree.
func (n *Node) back(m *wire.Message, p *progress) {
	if m.GetIndex() <= p.match || m.GetIndex() >= p.next {
		return
	}
	p.next = max(p.match, min(m.GetHint(), m.GetIndex()-1)) + 1
	p.probing = true
	p.sent = 0
	n.replicate(m.GetFrom())
}

func (n *Node) agree(id uint64, p *progress, index uint64) {
	p.match = max(p.match, index)
	if p.next <= p.match+1 {
		p.next = p.match + 1
		p.probing, p.sent = false, 0
	}
	n.advanceCommit()
	n.tellCommit(id, p)
	n.replicate(id)
}

// tellCommit passes on a commit index as soon as the follower holds what it covers.
func (n *Node) tellCommit(id uint64, p *progress) {
	commit := min(p.match, n.log.Commit)
	if commit <= p.told {
		return
	}
	p.told = commit
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_HEARTBEAT, To: id, Term: n.term, Commit: commit})
}

func (n *Node) countHeartbeat(m *wire.Message) {
	p := n.answered(m)
	if p == nil {
		return
	}
	p.acked = max(p.acked, m.GetRound())
	n.confirmRounds()
	if p.sent > 0 && m.GetRound() > p.sent && p.next > max(m.GetIndex(), p.match)+1 {
		n.resend(m, p)
	}
	n.agree(m.GetFrom(), p, m.GetIndex())
}

// resend moves back to before what was sent ahead of an answered round but is not among what the follower holds.
func (n *Node) resend(m *wire.Message, p *progress) {
	p.sent = 0
	p.next = max(m.GetIndex(), p.match) + 1
	if p.probing {
		p.next = max(p.next, p.base)
	}
}

// confirmRounds finds the last round that a quorum answered.
func (n *Node) confirmRounds() {
	n.confirmed = max(n.confirmed, n.byQuorum(n.round, func(p *progress) uint64 { return p.acked }))
}

// byQuorum returns the highest value that a quorum of voters has reached.
func (n *Node) byQuorum(own uint64, of func(*progress) uint64) uint64 {
	values := []uint64{own}
	for _, p := range n.progress {
		value := of(p)
		if !p.voter {
			value = 0
		}
		values = append(values, value)
	}
	slices.Sort(values)
	return values[len(values)-n.quorum()]
}

// advanceCommit commits what a quorum has on disk, if it is of this term.
func (n *Node) advanceCommit() {
	index := n.byQuorum(n.log.Synced, func(p *progress) uint64 { return p.match })
	if index <= n.log.Commit {
		return
	}
	if term, _ := n.log.Term(index); term != n.term {
		return
	}
	n.log.Commit = index
	for _, id := range n.others {
		n.tellCommit(id, n.progress[id])
	}
}
