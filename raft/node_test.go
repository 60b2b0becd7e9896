package raft_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"daisyswitch/raft"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

// Disk identities of the replicas in these tests.
const (
	diskOf1 = iota + 11
	diskOf2
	diskOf3
	newDisk
)

// newNode returns replica 1 of 3 whose log has entries of the given terms.
func newNode(state *wire.HardState, terms ...uint64) *raft.Node {
	var entries []*wire.Entry
	for i, term := range terms {
		entries = append(entries, &wire.Entry{Index: uint64(i + 1), Term: term, Data: []byte{1}})
	}
	state.Disk = diskOf1
	return raft.New(raft.Options{ID: 1, Peers: []uint64{1, 2, 3}, ElectionTicks: electionTicks, Rand: rand.New(rand.NewPCG(1, 1)), State: state, Entries: entries})
}

// collectMessages marks all records as synced and returns the messages of one kind.
func collectMessages(n *raft.Node, kind wire.MessageKind) []*wire.Message {
	var found []*wire.Message
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		n.Synced()
		for _, m := range append(r.EarlyMessages, r.Messages...) {
			if m.GetKind() == kind {
				found = append(found, m)
			}
		}
	}
	return found
}

func elect(t *testing.T, n *raft.Node) {
	for range 2 * electionTicks {
		n.Tick()
	}
	term := n.Term() + 1
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: 2, To: 1, Term: term, Disk: diskOf2})
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: 2, To: 1, Term: term, Disk: diskOf2})
	assert.Equal(t, n.Role(), raft.Leader)
	collectMessages(n, 0)
}

// TestLeaderSendsBeforeItsOwnDiskButCountsItselfAfter checks that a leader sends appends before its own sync, so that followers sync in parallel, but counts itself only after its sync.
func TestLeaderSendsBeforeItsOwnDiskButCountsItselfAfter(t *testing.T) {
	n := newNode(&wire.HardState{Term: 1}, 1)
	elect(t, n)
	acknowledge(n, 2, diskOf2, n.Last(), false)
	acknowledge(n, 3, diskOf3, n.Last(), false)
	collectMessages(n, 0)
	n.Propose([][]byte{{7}})
	r := n.Ready()
	assert.Equal(t, len(r.EarlyMessages), 2)
	assert.Equal(t, len(r.Entries), 1)
	acknowledge(n, 2, diskOf2, n.Last(), false)
	assert.Equal(t, n.Commit(), n.Last()-1, "committed with the entry on one disk of three")
	n.Synced()
	assert.Equal(t, n.Commit(), n.Last())
}

// TestNewLeaderOfALongLogReplicates checks that a new leader sends its first entry even though the log is longer than the limit on unacknowledged entries and no match is known yet.
func TestNewLeaderOfALongLogReplicates(t *testing.T) {
	n := newNode(&wire.HardState{Term: 1}, slices.Repeat([]uint64{1}, 20_000)...)
	term := n.Term() + 1
	for range 2 * electionTicks {
		n.Tick()
	}
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: 2, To: 1, Term: term, Disk: diskOf2})
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: 2, To: 1, Term: term, Disk: diskOf2})
	assert.Equal(t, n.Role(), raft.Leader)
	sent := collectMessages(n, wire.MessageKind_MESSAGE_KIND_APPEND)
	assert.Equal(t, len(sent), 2)
	for _, m := range sent {
		assert.Equal(t, m.GetEntries()[0].GetIndex(), n.Last())
	}
	acknowledge(n, 2, diskOf2, n.Last(), false)
	assert.Equal(t, n.Commit(), n.Last())
}

func acknowledge(n *raft.Node, from, disk, index uint64, recovering bool) {
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: from, To: 1, Term: n.Term(), Disk: disk, Index: index, Recovering: recovering})
}

func TestRecoveringReplicaCountsForNothing(t *testing.T) {
	n := newNode(&wire.HardState{Term: 1}, 1)
	elect(t, n)
	acknowledge(n, 3, newDisk, n.Last(), true)
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, From: 3, To: 1, Term: n.Term(), Disk: newDisk, Recovering: true, Round: n.Round(), Index: n.Last()})
	assert.Equal(t, n.Commit(), uint64(0))
	assert.Equal(t, n.Confirmed(), uint64(0))
	acknowledge(n, 2, diskOf2, n.Last(), false)
	assert.Equal(t, n.Commit(), n.Last())
}

// TestRecoveringReplicaAsksUnderLoad checks that frequent messages from a leader do not keep a recovering replica from sending recovery requests.
func TestRecoveringReplicaAsksUnderLoad(t *testing.T) {
	const ticks = 10 // makes the heartbeat interval two ticks
	n := raft.New(raft.Options{ID: 1, Peers: []uint64{1, 2, 3}, ElectionTicks: ticks, Rand: rand.New(rand.NewPCG(1, 1)), State: &wire.HardState{Recovering: true, Disk: diskOf1}})
	collectMessages(n, 0)
	asked := 0
	for range 2 * ticks {
		n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_HEARTBEAT, From: 2, To: 1, Term: 1, Disk: diskOf2})
		n.Tick()
		asked += len(collectMessages(n, wire.MessageKind_MESSAGE_KIND_RECOVER))
	}
	assert.Assert(t, asked > 0, "the recovering replica sent no recovery request")
}

// TestLateQuestionOfAFormerDiskDoesNotShutOutTheNewOne checks that a replica still recovers after a delayed recovery request of its former disk made the leader consider the new disk lost.
func TestLateQuestionOfAFormerDiskDoesNotShutOutTheNewOne(t *testing.T) {
	leader := newNode(&wire.HardState{Term: 1}, 1)
	elect(t, leader)
	wiped := raft.New(raft.Options{ID: 3, Peers: []uint64{1, 2, 3}, ElectionTicks: electionTicks, Rand: rand.New(rand.NewPCG(1, 3)), State: &wire.HardState{Recovering: true, Disk: newDisk}})
	const former = newDisk + 1
	for round := range 8 * electionTicks {
		wiped.Tick()
		for _, m := range collectAll(wiped) {
			if m.GetTo() == 1 {
				leader.Step(m)
			}
		}
		if round == 0 {
			leader.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_RECOVER, From: 3, To: 1, Nonce: former, Disk: former, Recovering: true})
		}
		for _, m := range collectAll(leader) {
			if m.GetTo() == 3 {
				wiped.Step(m)
			}
		}
		acknowledge(leader, 2, diskOf2, leader.Last(), false)
	}
	assert.Assert(t, !wiped.Recovering(), "the replica with the new disk never recovered")
}

// collectAll marks all records as synced and returns all messages.
func collectAll(n *raft.Node) []*wire.Message {
	var all []*wire.Message
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		n.Synced()
		all = append(append(all, r.EarlyMessages...), r.Messages...)
	}
	return all
}

func TestAnswersOfLostDiskAreForgotten(t *testing.T) {
	n := newNode(&wire.HardState{Term: 1}, 1)
	elect(t, n)
	recoverDisk := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_RECOVER, From: 3, To: 1, Nonce: newDisk, Disk: newDisk, Recovering: true}
	acknowledge(n, 3, diskOf3, 1, false)
	n.Step(recoverDisk)
	acknowledge(n, 3, diskOf3, n.Last(), false)
	assert.Equal(t, n.Commit(), uint64(0), "a reply of the lost disk was counted")
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_RECOVER, From: 3, To: 1, Nonce: diskOf3, Disk: diskOf3, Recovering: true})
	acknowledge(n, 3, diskOf3, n.Last(), false)
	assert.Equal(t, n.Commit(), uint64(0), "a delayed message made the lost disk count again")
	assert.Equal(t, len(collectMessages(n, wire.MessageKind_MESSAGE_KIND_RECOVER_REPLY)), 0, "recovery was granted without a quorum of the other replicas")
	acknowledge(n, 2, diskOf2, n.Last(), false)
	n.Step(recoverDisk)
	replies := collectMessages(n, wire.MessageKind_MESSAGE_KIND_RECOVER_REPLY)
	assert.Equal(t, len(replies), 1)
	assert.Equal(t, replies[0].GetIndex(), n.Last())
}

func TestEntriesOfOlderTermsAreNotCommittedByCount(t *testing.T) {
	n := newNode(&wire.HardState{Term: 3}, 1, 2)
	elect(t, n)
	acknowledge(n, 2, diskOf2, 2, false)
	assert.Equal(t, n.Commit(), uint64(0))
	acknowledge(n, 2, diskOf2, n.Last(), false)
	assert.Equal(t, n.Commit(), n.Last())
}

func TestFollowerCommitsOnlyWhatAgrees(t *testing.T) {
	n := newNode(&wire.HardState{Term: 1}, 1, 1, 1)
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Commit: 3, Entries: []*wire.Entry{{Index: 2, Term: 1, Data: []byte{1}}}})
	assert.Equal(t, n.Commit(), uint64(2))
}

func TestReplicaWithoutItsDiskIsLetInOnlyWithAllThatWasCommitted(t *testing.T) {
	n := newNode(&wire.HardState{Recovering: true})
	reply := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_RECOVER_REPLY, From: 2, To: 1, Term: 4, Nonce: diskOf1, Index: 2}
	n.Step(reply)
	assert.Assert(t, n.Recovering(), "recovery ended before the replica held the log")
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND, From: 2, To: 1, Term: 4, Commit: 2, Entries: []*wire.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 4}}})
	assert.Assert(t, !n.Recovering())
	for range electionTicks {
		n.Tick()
	}
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_VOTE, From: 3, To: 1, Term: 4, Index: 9, LogTerm: 4})
	votes := collectMessages(n, wire.MessageKind_MESSAGE_KIND_VOTE_REPLY)
	assert.Assert(t, len(votes) == 1 && votes[0].GetReject(), "voted in a term in which it may have voted before losing its disk")
}

func TestFirstStartNeedsAllToBeFresh(t *testing.T) {
	n := newNode(&wire.HardState{Recovering: true})
	fresh := func(from uint64) *wire.Message {
		return &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_RECOVER_REPLY, From: from, To: 1, Nonce: diskOf1, Fresh: true}
	}
	n.Step(fresh(2))
	n.Step(fresh(2))
	assert.Assert(t, n.Recovering())
	n.Step(fresh(3))
	assert.Assert(t, !n.Recovering())

	voted := newNode(&wire.HardState{Term: 1, Vote: 2})
	voted.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_RECOVER, From: 3, To: 1, Nonce: newDisk})
	assert.Equal(t, len(collectMessages(voted, wire.MessageKind_MESSAGE_KIND_RECOVER_REPLY)), 0)
}

func TestRestartedFollowerKeepsTheLeadersLease(t *testing.T) {
	n := newNode(&wire.HardState{Term: 1}, 1)
	ask := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_VOTE, From: 3, To: 1, Term: 2, Index: 9, LogTerm: 1}
	n.Step(ask)
	assert.Equal(t, n.Term(), uint64(1), "adopted the candidate's term before a lease that it may have granted had expired")
	for range electionTicks {
		n.Tick()
	}
	n.Step(ask)
	assert.Equal(t, n.Term(), uint64(2))
}

// newGroup returns the living replicas of a group, by their IDs, with logs of the given lengths and with the timers that rng returns for each; the others are dead.
func newGroup(size int, lengths map[uint64]uint64, rng func(id uint64) *rand.Rand) map[uint64]*raft.Node {
	var peers []uint64
	for peer := range size {
		peers = append(peers, uint64(peer+1))
	}
	nodes := map[uint64]*raft.Node{}
	for id, length := range lengths {
		var entries []*wire.Entry
		for index := range length {
			entries = append(entries, &wire.Entry{Index: index + 1, Term: 1, Data: []byte{1}})
		}
		nodes[id] = raft.New(raft.Options{ID: id, Peers: peers, ElectionTicks: electionTicks, Rand: rng(id), State: &wire.HardState{Term: 1, Disk: id}, Entries: entries})
	}
	return nodes
}

// exchange delivers the messages among the nodes, and those that answer them, until there are none left; those of higher IDs go first. The deaf node, if there is one, is heard but gets no messages.
func exchange(nodes map[uint64]*raft.Node, deaf uint64) {
	for {
		var inFlight []*wire.Message
		for _, id := range slices.Backward(slices.Sorted(maps.Keys(nodes))) {
			inFlight = append(inFlight, collectAll(nodes[id])...)
		}
		if len(inFlight) == 0 {
			return
		}
		for _, m := range inFlight {
			if n := nodes[m.GetTo()]; n != nil && m.GetTo() != deaf {
				n.Step(m)
			}
		}
	}
}

func leadersOf(nodes map[uint64]*raft.Node) []uint64 {
	var leaders []uint64
	for id, n := range nodes {
		if n.Role() == raft.Leader {
			leaders = append(leaders, id)
		}
	}
	return leaders
}

// TestReplicasThatCampaignAtOnceDoNotSplitTheVote guards against elections that nobody wins because each candidate votes for itself.
func TestReplicasThatCampaignAtOnceDoNotSplitTheVote(t *testing.T) {
	for _, test := range []struct {
		name    string
		size    int
		lengths map[uint64]uint64 // of the logs of the living replicas
		leader  uint64
	}{
		{"two of three alive", 3, map[uint64]uint64{1: 1, 2: 1}, 2},
		{"three of three alive", 3, map[uint64]uint64{1: 1, 2: 1, 3: 1}, 3},
		{"two of three alive, longer log under the lower ID", 3, map[uint64]uint64{1: 2, 2: 1}, 1},
		{"three of three alive, longer logs under the lower IDs", 3, map[uint64]uint64{1: 2, 2: 2, 3: 1}, 2},
		{"three of five alive", 5, map[uint64]uint64{1: 1, 2: 1, 3: 1}, 3},
		{"four of five alive", 5, map[uint64]uint64{1: 1, 2: 1, 3: 1, 5: 1}, 5},
		{"four of five alive, longer log under the lowest ID", 5, map[uint64]uint64{1: 2, 2: 1, 3: 1, 5: 1}, 1},
		{"four of five alive, longer logs under the lower IDs", 5, map[uint64]uint64{1: 2, 2: 2, 3: 1, 5: 1}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			nodes := newGroup(test.size, test.lengths, func(uint64) *rand.Rand { return rand.New(rand.NewPCG(1, 1)) })
			campaigned := false
			for tick := 0; tick < 2*electionTicks && !campaigned; tick++ {
				for _, n := range nodes {
					n.Tick()
				}
				for _, n := range nodes {
					campaigned = campaigned || n.Role() != raft.Follower
				}
				exchange(nodes, 0)
			}
			assert.DeepEqual(t, leadersOf(nodes), []uint64{test.leader})
		})
	}
}

// TestReplicaThatGivesItsCampaignUpCampaignsLater guards against a group that stays without a leader because the replica that was given way to fails.
func TestReplicaThatGivesItsCampaignUpCampaignsLater(t *testing.T) {
	n := newNode(&wire.HardState{Term: 1}, 1)
	for n.Role() != raft.PreCandidate {
		n.Tick()
	}
	collectMessages(n, 0)
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_PRE_VOTE, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Disk: diskOf2})
	assert.Equal(t, n.Role(), raft.Follower)
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: 3, To: 1, Term: 2, Disk: diskOf3})
	assert.Equal(t, n.Role(), raft.Follower, "a late pre-vote was counted")
	assert.Equal(t, n.Term(), uint64(1))
	for range 2 * electionTicks {
		n.Tick()
	}
	assert.Equal(t, n.Role(), raft.PreCandidate)
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: 3, To: 1, Term: 2, Disk: diskOf3})
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: 3, To: 1, Term: 2, Disk: diskOf3})
	assert.Equal(t, n.Role(), raft.Leader)
}

// TestReplicaThatHearsNothingDoesNotBlockElections guards against replicas that give their campaigns up again and again for one that cannot be elected.
func TestReplicaThatHearsNothingDoesNotBlockElections(t *testing.T) {
	const deaf = 3
	for seed := range uint64(100) {
		nodes := newGroup(3, map[uint64]uint64{1: 1, 2: 1, deaf: 1}, func(id uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, id)) })
		for tick := 0; tick < 20*electionTicks && len(leadersOf(nodes)) == 0; tick++ {
			for _, n := range nodes {
				n.Tick()
			}
			exchange(nodes, deaf)
		}
		assert.Equal(t, len(leadersOf(nodes)), 1, "seed %d", seed)
	}
}

// groupOf returns members with the given IDs, of which the replica without a vote follows only; 0 names none.
func groupOf(withoutVote uint64, ids ...uint64) *wire.Members {
	members := &wire.Members{}
	for _, id := range ids {
		members.Members = append(members.Members, &wire.Member{Id: id, Votes: id != withoutVote})
	}
	return members
}

// formerVoter returns replica 1 of 1, 2, 3 and 5, whose log ends with an uncommitted change that takes its vote.
func formerVoter() *raft.Node {
	entries := []*wire.Entry{{Index: 1, Term: 1, Members: groupOf(0, 1, 2, 3, 5)}, {Index: 2, Term: 1, Members: groupOf(1, 1, 2, 3, 5)}}
	return raft.New(raft.Options{ID: 1, Peers: []uint64{1, 2, 3, 5}, ElectionTicks: electionTicks, Rand: rand.New(rand.NewPCG(1, 1)), State: &wire.HardState{Term: 1, Disk: diskOf1}, Entries: entries})
}

// TestReplicaWhoseVoteAnUncommittedChangeTakesCampaigns checks that such a replica, whose log may be the longest, can be elected by a quorum of the new members, in which it counts for nothing itself.
func TestReplicaWhoseVoteAnUncommittedChangeTakesCampaigns(t *testing.T) {
	n := formerVoter()
	for range 2 * electionTicks {
		n.Tick()
	}
	assert.Equal(t, len(collectMessages(n, wire.MessageKind_MESSAGE_KIND_PRE_VOTE)), 3)
	const term = 2
	grant := func(kind wire.MessageKind, from uint64) {
		n.Step(&wire.Message{Kind: kind, From: from, To: 1, Term: term, Disk: from})
	}
	grant(wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, 3)
	assert.Equal(t, n.Role(), raft.PreCandidate, "one vote of three voters was taken for a quorum")
	grant(wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, 5)
	grant(wire.MessageKind_MESSAGE_KIND_VOTE_REPLY, 3)
	assert.Equal(t, n.Role(), raft.Candidate, "one vote of three voters was taken for a quorum")
	grant(wire.MessageKind_MESSAGE_KIND_VOTE_REPLY, 5)
	assert.Equal(t, n.Role(), raft.Leader)
	collectMessages(n, 0)
	acknowledge(n, 3, 3, n.Last(), false)
	assert.Equal(t, n.Commit(), uint64(0), "the leader counted itself although it has no vote")
	assert.Assert(t, !n.LeadsWithoutVote(), "the change that takes the leader's vote is not committed")
	acknowledge(n, 5, 5, n.Last(), false)
	assert.Equal(t, n.Commit(), n.Last())
	assert.Assert(t, n.LeadsWithoutVote())
}

// TestReplicaWhoseVoteIsTakenForGoodDoesNotCampaign checks that a committed change ends a replica's right to campaign.
func TestReplicaWhoseVoteIsTakenForGoodDoesNotCampaign(t *testing.T) {
	n := formerVoter()
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND, From: 3, To: 1, Term: 1, Index: 2, LogTerm: 1, Commit: 2, Disk: 3})
	collectMessages(n, 0)
	for range 4 * electionTicks {
		n.Tick()
	}
	assert.Equal(t, len(collectMessages(n, wire.MessageKind_MESSAGE_KIND_PRE_VOTE)), 0)
}
