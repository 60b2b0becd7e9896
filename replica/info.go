package replica

import (
	"errors"

	"daisyswitch/raft"
	"daisyswitch/verdict"
	"daisyswitch/wire"
)

// Info is what a replica knows of itself and, if it leads, of its peers.
type Info struct {
	ID            uint64
	Leader        uint64 // 0 if unknown
	LeaderAddress string
	Term          uint64
	Commit        uint64
	Applied       uint64
	Last          uint64
	Recovering    bool  // lost its disk and is not yet a full member
	Err           error // what ended its part in the group, nil while it takes part
	Peers         []PeerInfo
	Members       *wire.Members // of the group, as the log says
}

// PeerInfo is a leader's view of one other replica.
type PeerInfo struct {
	ID      uint64
	Address string
	Match   uint64 // index up to which its log is known to agree
	Active  bool   // answered within the election timeout
}

// Info returns the replica's view of the group.
func (r *Replica) Info() Info {
	info := *r.info.Load()
	info.Applied = r.applied.Load()
	return info
}

// publish lets others see the loop's state.
func (r *Replica) publish() {
	n := r.node
	info := &Info{
		ID:            r.options.ID,
		Leader:        n.Leader(),
		LeaderAddress: r.peers.Address(n.Leader()),
		Members:       n.Members(),
		Term:          n.Term(),
		Commit:        n.Commit(),
		Last:          n.Last(),
		Recovering:    n.Recovering(),
		Err:           r.err,
	}
	if n.Role() == raft.Leader {
		for _, member := range n.Members().GetMembers() {
			id := member.GetId()
			if id == r.options.ID {
				continue
			}
			match, active := n.Progress(id)
			info.Peers = append(info.Peers, PeerInfo{ID: id, Address: r.peers.Address(id), Match: match, Active: active})
		}
	}
	r.info.Store(info)
}

// NotLeader is the cause of a refusal by a replica that does not lead.
type NotLeader struct {
	Leader  uint64 // 0 if unknown
	Address string // drpc address of the leader, empty if unknown
}

// Error names the leader if it is known.
func (e *NotLeader) Error() string {
	if e.Leader == 0 {
		return "no leader is known"
	}
	return "the leader is at " + e.Address
}

// LeaderOf returns the address of the leader that a refusal names, empty if it names none.
func LeaderOf(err error) string {
	var not *NotLeader
	if errors.As(err, &not) {
		return not.Address
	}
	return ""
}

// notLeaderError says that this replica does not lead.
func (r *Replica) notLeaderError(v verdict.Verdict, reason string) error {
	info := r.info.Load()
	not := &NotLeader{}
	if info.Leader != r.options.ID {
		not.Leader, not.Address = info.Leader, info.LeaderAddress
	}
	return verdict.New(v, reason, not)
}
