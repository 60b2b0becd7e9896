package raft_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"daisyswitch/raft"
	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// Default number of runs of each property and of actions in each run; flags override them.
const (
	runs    = "1000"
	actions = "60"
)

func TestMain(m *testing.M) {
	seed := fmt.Sprint(rand.Uint64())
	for name, value := range map[string]string{"rapid.checks": runs, "rapid.steps": actions, "rapid.seed": seed} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	fmt.Println("seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

func TestThreeReplicas(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { check(t, 3, 3) })
}

func TestFiveReplicas(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { check(t, 5, 5) })
}

// TestMembersChange has two replicas join a group of three and voters replaced while faults are injected.
func TestMembersChange(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { check(t, 5, 3) })
}

// check runs a random sequence of actions and then ends all faults: the group must serve again and have lost no committed entry.
func check(t *rapid.T, size, voters int) {
	s := newSimulation(t, size, voters)
	if rapid.Bool().Draw(t, "bootstrapped") {
		s.runTicks(4 * electionTicks)
	}
	t.Repeat(map[string]func(*rapid.T){
		"":        func(*rapid.T) { s.checkLogs() },
		"run":     func(t *rapid.T) { s.runTicks(rapid.SampledFrom([]int{1, 2, 5, 15, 30}).Draw(t, "rounds")) },
		"gale":    s.injectFaults(faultProfile{steps: 500, blockedShare: 0.2, maxTicks: 2, reorderWindow: 2, crash: 2}),
		"storm":   s.injectFaults(faultProfile{steps: 500, blockedShare: 0.1, maxTicks: electionTicks, reorderWindow: 20, crash: 5}),
		"freeze":  s.injectFaults(faultProfile{steps: 500, blockedShare: 0.4, maxTicks: 2 * electionTicks, reorderWindow: 5}),
		"repair":  s.repair,
		"elect":   s.elect,
		"settle":  func(*rapid.T) { s.deliverAll() },
		"tick":    s.onHost(true, s.tick),
		"deliver": s.onMessage(s.deliverOne),
		"repeat":  s.onMessage(func(index int) { s.deliver(s.inFlight[index]) }),
		"lose":    s.onMessage(func(index int) { s.inFlight = s.inFlight[index+1:] }),
		"propose": s.onLeaders(s.propose),
		"read":    s.onLeaders(s.read),
		"serve":   s.onLeaders(s.serve),
		"members": s.onLeaders(s.changeMembers),
		"yield":   s.onLeaders(func(_ *rapid.T, h *host) { h.node.TransferLeadership() }),
		"flush":   s.onHost(true, func(_ *rapid.T, h *host) { s.flush(h) }),
		"crash":   s.onHost(true, s.crashOne),
		"restart": s.onHost(false, func(_ *rapid.T, h *host) { s.boot(h) }),
		"wipe":    func(t *rapid.T) { s.loseDisk(rapid.SampledFrom(s.hosts).Draw(t, "host")) },
		"compact": s.onHost(true, s.compact),
		"cut":     s.onHost(true, s.isolateHost),
		"heal":    func(*rapid.T) { s.blockedLinks = map[[2]uint64]bool{} },
	})
	s.heal()
}

// onHost runs an action onHost a host that is up or down as asked, if there is one; actions that cannot run are none, so that no run ends early.
func (s *simulation) onHost(up bool, action func(*rapid.T, *host)) func(*rapid.T) {
	return func(t *rapid.T) {
		var some []*host
		for _, h := range s.hosts {
			if (h.node != nil) == up {
				some = append(some, h)
			}
		}
		if len(some) > 0 {
			action(t, rapid.SampledFrom(some).Draw(t, "host"))
		}
	}
}

// onLeaders runs an action on each host that considers itself the leader.
func (s *simulation) onLeaders(action func(*rapid.T, *host)) func(*rapid.T) {
	return func(t *rapid.T) {
		for _, h := range s.hosts {
			if h.node != nil && h.node.Role() == raft.Leader {
				action(t, h)
			}
		}
	}
}

// onMessage runs an action on a random message in flight, if there is one.
func (s *simulation) onMessage(action func(index int)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(s.inFlight) > 0 {
			action(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message"))
		}
	}
}

func (s *simulation) tick(t *rapid.T, h *host) {
	for range rapid.IntRange(1, 2*electionTicks).Draw(t, "ticks") {
		h.node.Tick()
	}
}

func (s *simulation) deliverOne(index int) {
	m := s.inFlight[index]
	s.inFlight = slices.Delete(s.inFlight, index, index+1)
	s.deliver(m)
}

func (s *simulation) propose(t *rapid.T, h *host) {
	var batch [][]byte
	for range rapid.IntRange(1, 5).Draw(t, "records") {
		s.proposed++
		batch = append(batch, fmt.Append(nil, s.proposed))
	}
	h.node.Propose(batch)
}

func (s *simulation) serve(t *rapid.T, h *host) {
	s.propose(t, h)
	for range 4 {
		s.deliverAll()
	}
}

// changeMembers adds, promotes or demotes one replica, but keeps at least as many voters as the group had initially; static groups never change.
func (s *simulation) changeMembers(t *rapid.T, h *host) {
	members, joining := h.node.MembersAndJoining()
	if s.voters == s.size || h.node.Role() != raft.Leader {
		return
	}
	next := proto.CloneOf(h.node.Members())
	if len(joining) > 0 {
		next.Members = append(next.Members, joining[0])
		h.node.Reconfigure(next)
		return
	}
	voters := 0
	for _, m := range next.GetMembers() {
		if m.GetVotes() {
			voters++
		}
	}
	for _, m := range rapid.Permutation(next.GetMembers()).Draw(t, "members") {
		if m.GetId() != h.id && m.GetVotes() && voters > s.voters || !m.GetVotes() && holdsAll(h, members, m.GetId()) {
			m.Votes = !m.GetVotes()
			h.node.Reconfigure(next)
			return
		}
	}
}

// admitJoining adds, on each leader, the first replica that has asked to join.
func (s *simulation) admitJoining() {
	for _, h := range s.hosts {
		if _, joining := h.node.MembersAndJoining(); len(joining) > 0 {
			next := proto.CloneOf(h.node.Members())
			next.Members = append(next.Members, joining[0])
			h.node.Reconfigure(next)
		}
	}
}

// holdsAll reports whether a replica's log is known to match the leader's up to the commit index.
func holdsAll(h *host, members []raft.MemberProgress, id uint64) bool {
	for _, m := range members {
		if m.GetId() == id {
			return !m.Recovering && m.Match >= h.node.Commit()
		}
	}
	return false
}

// faultProfile configures a period of random faults.
type faultProfile struct {
	steps         int
	blockedShare  float64 // share of links that are blocked
	maxTicks      int     // most ticks of a node in one step
	reorderWindow int     // number of oldest messages from which the next delivery is drawn
	crash         int     // crashes per thousand steps
}

// injectFaults interleaves the work of hosts and the delivery of messages at random. One rapid draw seeds many steps.
func (s *simulation) injectFaults(w faultProfile) func(*rapid.T) {
	return func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "storm"), 0))
		for _, a := range s.hosts {
			for _, b := range s.hosts {
				s.blockedLinks[[2]uint64{a.id, b.id}] = random.Float64() < w.blockedShare
			}
		}
		for range w.steps {
			s.faultStep(t, w, random)
		}
		s.blockedLinks = map[[2]uint64]bool{}
	}
}

func (s *simulation) faultStep(t *rapid.T, w faultProfile, random *rand.Rand) {
	h := s.hosts[random.IntN(s.size)]
	if h.node == nil {
		if random.IntN(20) == 0 {
			s.boot(h)
		}
		return
	}
	if random.IntN(1000) < w.crash {
		s.crash(h, random.IntN(4))
		return
	}
	if random.IntN(500) == 0 {
		s.loseDisk(h)
		return
	}
	switch roll := random.IntN(100); {
	case roll < 10:
		for range 1 + random.IntN(w.maxTicks) {
			h.node.Tick()
		}
	case roll < 45:
		s.flush(h)
	case roll < 48:
		s.proposed++
		h.node.Propose([][]byte{fmt.Append(nil, s.proposed)})
	case roll < 50:
		s.read(t, h)
	case len(s.inFlight) > 0 && roll < 52:
		s.deliver(s.inFlight[random.IntN(len(s.inFlight))])
	case len(s.inFlight) > 0:
		s.deliverOne(random.IntN(min(len(s.inFlight), w.reorderWindow)))
	}
}

// repair unblocks all links and restarts the hosts that are down from their disks.
func (s *simulation) repair(*rapid.T) {
	s.blockedLinks = map[[2]uint64]bool{}
	for _, h := range s.hosts {
		if h.node == nil {
			s.boot(h)
		}
	}
}

func (s *simulation) elect(t *rapid.T) {
	s.repair(t)
	s.runTicks(4 * electionTicks)
}

func (s *simulation) read(_ *rapid.T, h *host) {
	n := h.node
	if n.Role() != raft.Leader || n.Commit() < n.TermStart() {
		return
	}
	n.StartRound()
	h.reads = append(h.reads, readCheck{term: n.Term(), round: n.Round(), index: n.Commit(), want: s.lastCommitted})
}

func (s *simulation) crashOne(t *rapid.T, h *host) {
	s.crash(h, rapid.IntRange(0, 4).Draw(t, "point"))
}

// loseDisk wipes the host's disk if a majority still keeps its own.
func (s *simulation) loseDisk(h *host) {
	lost := 1
	for _, other := range s.hosts {
		if other != h && other.state.GetRecovering() {
			lost++
		}
	}
	if lost <= (s.voters-1)/2 {
		s.blankDisk(h)
		s.boot(h)
	}
}

func (s *simulation) compact(t *rapid.T, h *host) {
	s.flush(h)
	index := h.applied
	if index <= h.snapshot.GetIndex() {
		return
	}
	h.entries = h.entries[index-h.snapshot.GetIndex():]
	h.snapshot = &wire.Snapshot{Index: index, Term: s.committed[index].GetTerm(), Data: s.digest(index), Members: h.members}
	h.node.Compact(index, index-min(index, rapid.Uint64Range(0, 3).Draw(t, "keep")))
}

func (s *simulation) isolateHost(t *rapid.T, h *host) {
	oneWay := rapid.Bool().Draw(t, "one way")
	for _, other := range s.hosts {
		s.blockedLinks[[2]uint64{h.id, other.id}] = true
		s.blockedLinks[[2]uint64{other.id, h.id}] = !oneWay
	}
}

// heal ends all faults and checks that a new record reaches all replicas.
func (s *simulation) heal() {
	s.repair(s.T)
	s.inFlight = nil
	for range 40 {
		s.runTicks(2 * electionTicks)
		s.admitJoining()
		if s.servesAll() {
			return
		}
	}
	s.Fatalf("no record reached all replicas after all faults had ended: %s", s.describe())
}

// servesAll proposes a record at the leader and reports whether all replicas have applied it.
func (s *simulation) servesAll() bool {
	for _, h := range s.hosts {
		if h.node.Role() != raft.Leader {
			continue
		}
		first, _ := h.node.Propose([][]byte{[]byte("last")})
		s.runTicks(4 * electionTicks)
		for _, other := range s.hosts {
			if other.applied < first || other.node.Recovering() {
				return false
			}
		}
		return true
	}
	return false
}

func (s *simulation) describe() string {
	text := ""
	for _, h := range s.hosts {
		n := h.node
		text += fmt.Sprintf("\n%d: role %d term %d leader %d last %d commit %d applied %d recovering %v", h.id, n.Role(), n.Term(), n.Leader(), n.Last(), n.Commit(), h.applied, n.Recovering())
	}
	return text
}
