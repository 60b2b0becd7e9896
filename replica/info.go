package replica

import (
	"errors"

	"daisyswitch/raft"
	"daisyswitch/verdict"
	"daisyswitch/wire"
)

// Info is a replica's own state and, if it leads, that of its peers.
type Info struct {
	ID            uint64
	Leader        uint64 // 0 if unknown
	LeaderAddress string
	Term          uint64
	Commit        uint64
	Applied       uint64
	Last          uint64
	Recovering    bool  // lost its disk and does not vote until it has caught up
	DiskFull      bool  // takes no part in the group until its disk has room
	Err           error // error that stopped the replica, nil while it runs
	Peers         []PeerInfo
	Members       *wire.Members // of the group, from the latest configuration in the log
}

// PeerInfo is a leader's view of one other replica.
type PeerInfo struct {
	ID      uint64
	Address string
	Match   uint64 // last index up to which its log is known to match the leader's
	Active  bool   // answered within the election timeout
}

// Info returns the replica's view of the group.
func (r *Replica) Info() Info {
	info := *r.info.Load()
	info.Applied = r.applied.Load()
	return info
}

// publishInfo publishes the loop's state to Info.
func (r *Replica) publishInfo() {
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
		DiskFull:      r.diskFull,
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

// NotLeader is the cause of an error returned by a replica that does not lead.
type NotLeader struct {
	Leader  uint64 // 0 if unknown
	Address string // drpc address of the leader, empty if unknown
}

// Error returns the leader's address if it is known.
func (e *NotLeader) Error() string {
	if e.Leader == 0 {
		return "no leader is known"
	}
	return "the leader is at " + e.Address
}

// LeaderAddress returns the leader's address from a NotLeader in err, empty if there is none.
func LeaderAddress(err error) string {
	var notLeader *NotLeader
	if errors.As(err, &notLeader) {
		return notLeader.Address
	}
	return ""
}

// notLeaderError returns an error with the given verdict and reason whose cause names the current leader, if another replica leads.
func (r *Replica) notLeaderError(v verdict.Verdict, reason string) error {
	info := r.info.Load()
	notLeader := &NotLeader{}
	if info.Leader != r.options.ID {
		notLeader.Leader, notLeader.Address = info.Leader, info.LeaderAddress
	}
	return verdict.New(v, reason, notLeader)
}
