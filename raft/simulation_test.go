package raft_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"daisyswitch/raft"
	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

const electionTicks = 5

// host is one replica with its disk; the disk survives crashes of the node.
type host struct {
	id       uint64
	node     *raft.Node // nil while crashed
	state    *wire.HardState
	snapshot *wire.Snapshot
	entries  []*wire.Entry // on disk, after the snapshot
	members  *wire.Members // as of the last applied entry
	applied  uint64
	reads    []readCheck
}

// readCheck is a read that must observe at least the entries committed when it was requested.
type readCheck struct {
	term, round, index, want uint64
}

// simulation is a group of replicas on a network that drops, duplicates and reorders messages.
type simulation struct {
	*rapid.T
	size             int
	voters           int // initial number of voters; the other hosts join
	hosts            []*host
	inFlight         []*wire.Message
	blockedLinks     map[[2]uint64]bool
	leaders          map[uint64]uint64      // leader ID by term
	committed        map[uint64]*wire.Entry // entries that any host has applied, by index
	firstAppliedTerm map[uint64]uint64      // term in which an index was first applied
	lastCommitted    uint64                 // highest index in committed
	proposed         int
	disks            uint64
	seed             uint64
}

func newSimulation(t *rapid.T, size, voters int) *simulation {
	s := &simulation{T: t, size: size, voters: voters, blockedLinks: map[[2]uint64]bool{}, leaders: map[uint64]uint64{}, committed: map[uint64]*wire.Entry{}, firstAppliedTerm: map[uint64]uint64{}}
	s.seed = rapid.Uint64().Draw(t, "seed")
	for id := 1; id <= size; id++ {
		h := &host{id: uint64(id)}
		s.hosts = append(s.hosts, h)
		s.blankDisk(h)
		s.boot(h)
	}
	return s
}

func (s *simulation) blankDisk(h *host) {
	s.disks++
	*h = host{id: h.id, state: &wire.HardState{Disk: s.disks, Recovering: true}}
}

func (s *simulation) boot(h *host) {
	var peers []uint64
	for id := range s.voters {
		peers = append(peers, uint64(id+1))
	}
	s.seed++
	h.node = raft.New(raft.Options{
		ID: h.id, Peers: peers, Joins: h.id > uint64(s.voters), ElectionTicks: electionTicks,
		Rand: rand.New(rand.NewPCG(s.seed, h.id)), State: h.state, Snapshot: h.snapshot, Entries: slices.Clone(h.entries),
	})
	h.node.SetContacts(peers)
	h.applied, h.members = h.snapshot.GetIndex(), h.snapshot.GetMembers()
	h.reads = nil
}

// persist writes the records of r to the disk; if whole is false, it writes only the first half of the entries.
func (h *host) persist(r *raft.Ready, whole bool) {
	if r.State != nil {
		h.state = r.State
	}
	if r.Snapshot != nil {
		h.snapshot, h.entries = r.Snapshot, nil
	}
	entries := r.Entries
	if !whole {
		entries = entries[:len(entries)/2]
	}
	if len(entries) > 0 {
		keep := entries[0].GetIndex() - h.snapshot.GetIndex() - 1
		h.entries = append(slices.Clone(h.entries[:keep]), entries...)
	}
}

// flush performs all work that the node returns from Ready.
func (s *simulation) flush(h *host) {
	s.checkLeader(h)
	for r := h.node.Ready(); !r.Empty(); r = h.node.Ready() {
		s.enqueueMessages(h, r.EarlyMessages)
		h.persist(&r, true)
		h.node.Synced()
		s.enqueueMessages(h, r.Messages)
		if r.Snapshot != nil {
			h.applied, h.members = r.Snapshot.GetIndex(), r.Snapshot.GetMembers()
			s.checkDigest(r.Snapshot)
		}
		for _, e := range r.Commit {
			s.apply(h, e)
		}
		s.checkLeader(h)
	}
	s.checkReads(h)
}

// crash stops a host after the step of its pending work that point selects.
func (s *simulation) crash(h *host, point int) {
	r := h.node.Ready()
	if point > 0 {
		s.enqueueMessages(h, r.EarlyMessages)
	}
	if point > 1 {
		h.persist(&r, point > 2)
	}
	if point > 3 {
		s.enqueueMessages(h, r.Messages)
	}
	h.node = nil
}

func (s *simulation) enqueueMessages(h *host, messages []*wire.Message) {
	for _, m := range messages {
		if m.GetKind() == wire.MessageKind_MESSAGE_KIND_SNAPSHOT {
			m.Index, m.LogTerm, m.Snapshot, m.Members = h.snapshot.GetIndex(), h.snapshot.GetTerm(), h.snapshot.GetData(), h.snapshot.GetMembers()
		}
		s.inFlight = append(s.inFlight, m)
	}
}

func (s *simulation) deliver(m *wire.Message) {
	h := s.hosts[m.GetTo()-1]
	if h.node != nil && !s.blockedLinks[[2]uint64{m.GetFrom(), m.GetTo()}] {
		h.node.Step(proto.CloneOf(m))
	}
}

// runTicks advances all nodes by the given number of ticks and delivers messages without loss, except on blocked links.
func (s *simulation) runTicks(rounds int) {
	for range rounds {
		for _, h := range s.hosts {
			if h.node != nil {
				h.node.Tick()
			}
		}
		for range 6 {
			s.deliverAll()
		}
	}
}

func (s *simulation) deliverAll() {
	for _, h := range s.hosts {
		if h.node != nil {
			s.flush(h)
		}
	}
	inFlight := s.inFlight
	s.inFlight = nil
	for _, m := range inFlight {
		s.deliver(m)
	}
}

func (s *simulation) apply(h *host, e *wire.Entry) {
	if e.GetIndex() != h.applied+1 {
		s.Fatalf("replica %d applied index %d right after index %d", h.id, e.GetIndex(), h.applied)
	}
	h.applied = e.GetIndex()
	if e.GetMembers() != nil {
		h.members = e.GetMembers()
	}
	known := s.committed[e.GetIndex()]
	if known == nil {
		s.committed[e.GetIndex()] = e
		s.firstAppliedTerm[e.GetIndex()] = h.node.Term()
		s.lastCommitted = max(s.lastCommitted, e.GetIndex())
		return
	}
	if !proto.Equal(known, e) {
		s.Fatalf("replica %d applied entry %v, but entry %v was committed at that index", h.id, e, known)
	}
}

// digest represents the state machine's state after index.
func (s *simulation) digest(index uint64) []byte {
	sum := uint64(0)
	for i := uint64(1); i <= index; i++ {
		sum = sum*31 + s.committed[i].GetTerm() + uint64(len(s.committed[i].GetData()))
	}
	return fmt.Append(nil, index, sum)
}

func (s *simulation) checkDigest(snapshot *wire.Snapshot) {
	if string(s.digest(snapshot.GetIndex())) != string(snapshot.GetData()) {
		s.Fatalf("snapshot at index %d holds a state that differs from the committed entries", snapshot.GetIndex())
	}
}

// checkLeader checks that a term has one leader, and that this leader holds all entries committed in earlier terms.
func (s *simulation) checkLeader(h *host) {
	if h.node.Role() != raft.Leader {
		return
	}
	term := h.node.Term()
	if known := s.leaders[term]; known == h.id {
		return
	} else if known != 0 {
		s.Fatalf("replicas %d and %d both lead term %d", known, h.id, term)
	}
	s.leaders[term] = h.id
	for index, e := range s.committed {
		if index > h.snapshot.GetIndex() && h.node.EntryTerm(index) != e.GetTerm() && s.firstAppliedTerm[index] < term {
			s.Fatalf("replica %d leads term %d without committed entry %d", h.id, term, index)
		}
	}
}

func (s *simulation) checkReads(h *host) {
	for len(h.reads) > 0 {
		r := h.reads[0]
		if h.node.Role() == raft.Leader && h.node.Term() == r.term && h.node.Confirmed() < r.round {
			return
		}
		if h.node.Role() == raft.Leader && h.node.Term() == r.term && r.index < r.want {
			s.Fatalf("replica %d confirmed a read at index %d although index %d was committed", h.id, r.index, r.want)
		}
		h.reads = h.reads[1:]
	}
}

// checkLogs checks the log matching property: two logs that match at one entry match at all entries before it.
func (s *simulation) checkLogs() {
	for i, a := range s.hosts {
		for _, b := range s.hosts[i+1:] {
			if a.node != nil && b.node != nil {
				s.checkPair(a, b)
			}
		}
	}
}

func (s *simulation) checkPair(a, b *host) {
	agree := false
	for index := min(a.node.Last(), b.node.Last()); index > 0; index-- {
		ours, theirs := a.node.EntryTerm(index), b.node.EntryTerm(index)
		if ours == 0 || theirs == 0 {
			return // only a snapshot covers this index and those before it
		}
		if agree && ours != theirs {
			s.Fatalf("logs of replicas %d and %d differ at index %d but match after it", a.id, b.id, index)
		}
		agree = ours == theirs
	}
}
