package membership

import (
	"time"

	"daisyswitch/raft"
	"daisyswitch/wire"
)

// Thresholds for replacing, removing and promoting members.
const (
	lostVoterTimeout = 1500 * time.Millisecond // a voter that is silent for longer is replaced: three election timeouts, and well within the time that a successor has to catch up
	removalTimeout   = 30 * time.Second        // a non-voting member that is silent for longer is removed; a restart takes a few seconds
	maxSuccessorLag  = 256                     // log records by which a replica may lag and still count as up to date: they arrive within one round trip
)

// View is a leader's view of its group.
type View struct {
	Self              uint64
	Members           *wire.Members
	Others            []raft.MemberProgress
	Joining           []*wire.Member
	Last              uint64        // last index of the log
	Tick              time.Duration // unit in which the silence of members is counted
	ToleratedLosses   int           // number of voters whose simultaneous loss the group must survive
	DynamicMembership bool          // whether membership may change; false where the settings list the members
}

// Next returns the next membership, which differs from the current one in a single replica, or nil if no change is due.
func Next(v *View) *wire.Members {
	if !v.DynamicMembership {
		return nil
	}
	if len(v.Joining) > 0 {
		return withMember(v.Members, v.Joining[0])
	}
	voters := countVoters(v.Members)
	wanted := 2*v.ToleratedLosses + 1
	lost := v.lostVoter()
	switch {
	case voters > wanted && lost != nil:
		return withVote(v.Members, lost.GetId(), false)
	case voters > wanted:
		if surplus := v.surplusVoter(); surplus != nil {
			return withVote(v.Members, surplus.GetId(), false)
		}
	case voters < wanted || lost != nil:
		if successor := v.successor(); successor != nil {
			return withVote(v.Members, successor.GetId(), true)
		}
	}
	if silent := v.silentNonVoter(); silent != nil {
		return withoutMember(v.Members, silent.GetId())
	}
	return nil
}

func countVoters(members *wire.Members) int {
	voters := 0
	for _, m := range members.GetMembers() {
		if m.GetVotes() {
			voters++
		}
	}
	return voters
}

func (v *View) silentFor(s *raft.MemberProgress) time.Duration {
	return time.Duration(s.Silent) * v.Tick
}

// lostVoter returns the voter that has been silent longest, or nil if none has exceeded lostVoterTimeout.
func (v *View) lostVoter() *raft.MemberProgress {
	var lost *raft.MemberProgress
	for i := range v.Others {
		s := &v.Others[i]
		if s.GetVotes() && v.silentFor(s) > lostVoterTimeout && (lost == nil || s.Silent > lost.Silent) {
			lost = s
		}
	}
	return lost
}

// surplusVoter returns the voter to demote when all voters answer: one from the failure domain with the most voters.
func (v *View) surplusVoter() *raft.MemberProgress {
	domains := v.voterDomains()
	var surplus *raft.MemberProgress
	for i := range v.Others {
		s := &v.Others[i]
		if s.GetVotes() && (surplus == nil || domains[s.GetDomain()] > domains[surplus.GetDomain()]) {
			surplus = s
		}
	}
	return surplus
}

// successor returns the non-voting member to promote: one that is up to date, from the failure domain with the fewest voters. It returns nil if there is none.
func (v *View) successor() *raft.MemberProgress {
	domains := v.voterDomains()
	var best *raft.MemberProgress
	for i := range v.Others {
		s := &v.Others[i]
		if s.GetVotes() || s.Recovering || s.Match == 0 || s.Match+maxSuccessorLag < v.Last || v.silentFor(s) > lostVoterTimeout/3 {
			continue
		}
		if best == nil || domains[s.GetDomain()] < domains[best.GetDomain()] {
			best = s
		}
	}
	return best
}

// voterDomains counts the voters that are not lost, by failure domain.
func (v *View) voterDomains() map[string]int {
	domains := map[string]int{}
	for i := range v.Others {
		if s := &v.Others[i]; s.GetVotes() && v.silentFor(s) <= lostVoterTimeout {
			domains[s.GetDomain()]++
		}
	}
	for _, m := range v.Members.GetMembers() {
		if m.GetId() == v.Self {
			domains[m.GetDomain()]++
		}
	}
	return domains
}

// silentNonVoter returns a non-voting member that has been silent longer than removalTimeout, or nil if there is none.
func (v *View) silentNonVoter() *raft.MemberProgress {
	for i := range v.Others {
		s := &v.Others[i]
		if !s.GetVotes() && v.silentFor(s) > removalTimeout {
			return s
		}
	}
	return nil
}

func cloneMembers(members *wire.Members) *wire.Members {
	next := &wire.Members{}
	for _, m := range members.GetMembers() {
		next.Members = append(next.Members, &wire.Member{Id: m.GetId(), Address: m.GetAddress(), Votes: m.GetVotes(), Domain: m.GetDomain()})
	}
	return next
}

func withMember(members *wire.Members, joining *wire.Member) *wire.Members {
	next := cloneMembers(members)
	next.Members = append(next.Members, &wire.Member{Id: joining.GetId(), Address: joining.GetAddress(), Domain: joining.GetDomain()})
	return next
}

func withoutMember(members *wire.Members, id uint64) *wire.Members {
	next := &wire.Members{}
	for _, m := range cloneMembers(members).GetMembers() {
		if m.GetId() != id {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

func withVote(members *wire.Members, id uint64, votes bool) *wire.Members {
	next := cloneMembers(members)
	for _, m := range next.GetMembers() {
		if m.GetId() == id {
			m.Votes = votes
		}
	}
	return next
}
