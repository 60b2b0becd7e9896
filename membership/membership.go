package membership

import (
	"time"

	"daisyswitch/raft"
	"daisyswitch/wire"
)

// When a member counts as lost.
const (
	lostVoterTimeout = 1500 * time.Millisecond // a voter that is silent for so long is replaced: three election timeouts, and well within the time that a successor has to catch up
	removalTimeout   = 30 * time.Second        // a member without a vote that is silent for so long is removed; a restart takes a few seconds
	maxSuccessorLag  = 256                     // log records that a replica may lack and still count as holding everything: they arrive within one round trip
)

// View is what a leader knows of its group.
type View struct {
	Self     uint64
	Members  *wire.Members
	Others   []raft.MemberProgress
	Joining  []*wire.Member
	Last     uint64        // last index of the log
	Tick     time.Duration // unit of silence
	Losses   int           // voters that may be lost at once
	Replaces bool          // whether voters may be chosen at all; false where settings name the group
}

// Next returns the group that ought to follow the present one, nil if it may stay; it differs in one replica only.
func Next(v *View) *wire.Members {
	if !v.Replaces {
		return nil
	}
	if len(v.Joining) > 0 {
		return withMember(v.Members, v.Joining[0])
	}
	voters := countVoters(v.Members)
	wanted := 2*v.Losses + 1
	lost := v.lostVoter()
	switch {
	case voters > wanted && lost != nil:
		return withVote(v.Members, lost.GetId(), false)
	case voters > wanted:
		if spare := v.surplusVoter(); spare != nil {
			return withVote(v.Members, spare.GetId(), false)
		}
	case voters < wanted || lost != nil:
		if successor := v.successor(); successor != nil {
			return withVote(v.Members, successor.GetId(), true)
		}
	}
	if gone := v.silentNonVoter(); gone != nil {
		return withoutMember(v.Members, gone.GetId())
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

// lostVoter returns the voter that has been silent longest, nil if none counts as lost.
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

// surplusVoter returns the voter to give up when all answer: one whose failure domain has most voters.
func (v *View) surplusVoter() *raft.MemberProgress {
	domains := v.voterDomains()
	var spare *raft.MemberProgress
	for i := range v.Others {
		s := &v.Others[i]
		if s.GetVotes() && (spare == nil || domains[s.GetDomain()] > domains[spare.GetDomain()]) {
			spare = s
		}
	}
	return spare
}

// successor returns the replica without a vote that holds everything and whose failure domain has fewest voters, nil if there is none.
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

// voterDomains counts the voters that answer, by failure domain.
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

// silentNonVoter returns a member without a vote that is no more.
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
