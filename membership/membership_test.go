package membership_test

import (
	"testing"
	"time"

	"daisyswitch/membership"
	"daisyswitch/raft"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

const tick = 50 * time.Millisecond

// newView returns a view of three voters in three failure domains, led by replica 1, and one non-voting member.
func newView(losses int) *membership.View {
	members := &wire.Members{Members: []*wire.Member{
		{Id: 1, Votes: true, Domain: "a"}, {Id: 2, Votes: true, Domain: "b"}, {Id: 3, Votes: true, Domain: "c"}, {Id: 4, Domain: "c"},
	}}
	v := &membership.View{Self: 1, Members: members, Last: 1000, Tick: tick, ToleratedLosses: losses, DynamicMembership: true}
	for _, m := range members.GetMembers()[1:] {
		v.Others = append(v.Others, raft.MemberProgress{Member: m, Match: 1000})
	}
	return v
}

func setSilence(v *membership.View, id uint64, d time.Duration) {
	for i := range v.Others {
		if v.Others[i].GetId() == id {
			v.Others[i].Silent = int(d / tick)
		}
	}
}

func voterIDs(m *wire.Members) []uint64 {
	var ids []uint64
	for _, member := range m.GetMembers() {
		if member.GetVotes() {
			ids = append(ids, member.GetId())
		}
	}
	return ids
}

func TestSoundGroupStays(t *testing.T) {
	assert.Assert(t, membership.Next(newView(1)) == nil)
}

func TestJoiningReplicaFollowsWithoutAVote(t *testing.T) {
	v := newView(1)
	v.Joining = []*wire.Member{{Id: 5, Address: "e:1", Domain: "b"}}
	next := membership.Next(v)
	assert.Equal(t, len(next.GetMembers()), 5)
	assert.DeepEqual(t, voterIDs(next), []uint64{1, 2, 3})
}

func TestLostVoterIsReplacedFirstAndThenGivenUp(t *testing.T) {
	v := newView(1)
	setSilence(v, 3, 2*time.Second)
	next := membership.Next(v)
	assert.DeepEqual(t, voterIDs(next), []uint64{1, 2, 3, 4})
	v.Members = next
	for i := range v.Others {
		v.Others[i].Member = next.GetMembers()[i+1]
	}
	assert.DeepEqual(t, voterIDs(membership.Next(v)), []uint64{1, 2, 4})
}

func TestVoterIsNotReplacedByOneThatHoldsLess(t *testing.T) {
	for name, disqualify := range map[string]func(*raft.MemberProgress){
		"behind":    func(s *raft.MemberProgress) { s.Match = 100 },
		"repairing": func(s *raft.MemberProgress) { s.Recovering = true },
		"silent":    func(s *raft.MemberProgress) { s.Silent = int(time.Second / tick) },
	} {
		t.Run(name, func(t *testing.T) {
			v := newView(1)
			setSilence(v, 3, 2*time.Second)
			disqualify(&v.Others[2])
			assert.Assert(t, membership.Next(v) == nil)
		})
	}
}

func TestGroupGrowsToBearTwoLosses(t *testing.T) {
	v := newView(2)
	assert.DeepEqual(t, voterIDs(membership.Next(v)), []uint64{1, 2, 3, 4})
}

func TestSuccessorComesFromTheDomainWithFewestVoters(t *testing.T) {
	v := newView(2)
	v.Members.Members = append(v.Members.Members, &wire.Member{Id: 5, Domain: "d"})
	v.Others = append(v.Others, raft.MemberProgress{Member: v.Members.Members[4], Match: 1000})
	assert.DeepEqual(t, voterIDs(membership.Next(v)), []uint64{1, 2, 3, 5})
}

func TestReplicaThatIsNoMoreIsRemoved(t *testing.T) {
	v := newView(1)
	setSilence(v, 4, time.Minute)
	assert.Equal(t, len(membership.Next(v).GetMembers()), 3)
}
