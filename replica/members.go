package replica

import (
	"context"
	"time"

	"daisyswitch/event"
	"daisyswitch/membership"
	"daisyswitch/raft"
	"daisyswitch/wire"
)

// transferTimeout is the longest wait for another replica to lead; a follower needs one round of votes and a sync.
const transferTimeout = 500 * time.Millisecond

// SetSeeds replaces the addresses where replicas may be found.
func (r *Replica) SetSeeds(seeds map[uint64]string) {
	select {
	case r.seeds <- seeds:
	case <-r.ended:
	}
}

func (r *Replica) useSeeds(seeds map[uint64]string) {
	for id, address := range seeds {
		r.peers.AddPeer(id, address)
	}
	r.node.SetContacts(ids(seeds))
}

// connectMembers opens connections to the members of a group.
func (r *Replica) connectMembers(members *wire.Members) {
	for _, m := range members.GetMembers() {
		r.peers.AddPeer(m.GetId(), m.GetAddress())
	}
}

// reconfigure proposes the next change of the group, if one is due and the last one is committed.
func (r *Replica) reconfigure() {
	if !r.options.DynamicMembers || r.node.Role() != raft.Leader || r.transferring {
		return
	}
	standings, joining := r.node.MembersAndJoining()
	view := &membership.View{
		Self: r.options.ID, Members: r.node.Members(), Others: standings, Joining: joining,
		Last: r.node.Last(), Tick: r.options.Tick, Losses: r.options.Losses, Replaces: true,
	}
	next := membership.Next(view)
	if next == nil || !r.node.Reconfigure(r.withAddresses(next)) {
		return
	}
	event.MembersChanged.Info("replica", r.options.ID, "members", describeMembers(next))
	r.connectMembers(next)
}

// withAddresses adds the addresses that the group's first configuration lacks.
func (r *Replica) withAddresses(members *wire.Members) *wire.Members {
	for _, m := range members.GetMembers() {
		switch {
		case m.GetId() == r.options.ID:
			m.Address, m.Domain = r.options.Address, r.options.Domain
		case m.GetAddress() == "":
			m.Address = r.peers.Address(m.GetId())
		}
	}
	return members
}

func describeMembers(members *wire.Members) []string {
	var all []string
	for _, m := range members.GetMembers() {
		role := "follows"
		if m.GetVotes() {
			role = "votes"
		}
		all = append(all, m.GetAddress()+" "+role)
	}
	return all
}

// TransferLeadership ends this replica's leadership, if it leads, and returns once another leads or ctx ends.
func (r *Replica) TransferLeadership(ctx context.Context) {
	if r.Info().Leader != r.options.ID {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	select {
	case r.transfers <- struct{}{}:
	case <-r.ended:
		return
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil && r.Info().Leader == r.options.ID {
		select {
		case <-ctx.Done():
		case <-r.ended:
			return
		case <-time.After(r.options.Tick / 5):
		}
	}
	event.LeadershipHandedOver.Info("replica", r.options.ID, "leader", r.Info().Leader)
}

// tryTransfer hands the leadership on once all that was proposed is committed.
func (r *Replica) tryTransfer() {
	if r.transferring && len(r.pending) == 0 {
		r.node.TransferLeadership()
	}
}
