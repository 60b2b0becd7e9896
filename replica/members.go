package replica

import (
	"context"
	"time"

	"daisyswitch/event"
	"daisyswitch/membership"
	"daisyswitch/raft"
	"daisyswitch/wire"
)

// transferTimeout is the longest wait for another replica to become leader. A follower needs one round of votes and a sync for that.
const transferTimeout = 500 * time.Millisecond

// SetSeeds replaces the addresses at which other replicas may be reached, by replica id.
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
	r.node.SetContacts(peerIDs(seeds))
}

// connectMembers opens connections to the members that are not connected yet.
func (r *Replica) connectMembers(members *wire.Members) {
	for _, m := range members.GetMembers() {
		r.peers.AddPeer(m.GetId(), m.GetAddress())
	}
}

// reconfigure proposes the next membership change, if one is due and the previous one is committed.
func (r *Replica) reconfigure() {
	if !r.options.DynamicMembers || r.node.Role() != raft.Leader || r.transferring {
		return
	}
	standings, joining := r.node.MembersAndJoining()
	view := &membership.View{
		Self: r.options.ID, Members: r.node.Members(), Others: standings, Joining: joining,
		Last: r.node.Last(), Tick: r.options.Tick, ToleratedLosses: r.options.ToleratedLosses, DynamicMembership: true,
	}
	next := membership.Next(view)
	if next == nil || !r.node.Reconfigure(r.withAddresses(next)) {
		return
	}
	event.MembersChanged.Info("replica", r.options.ID, "members", describeMembers(next))
	r.connectMembers(next)
}

// withAddresses adds the addresses that the initial configuration of the group lacks.
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
	var descriptions []string
	for _, m := range members.GetMembers() {
		role := "follows"
		if m.GetVotes() {
			role = "votes"
		}
		descriptions = append(descriptions, m.GetAddress()+" "+role)
	}
	return descriptions
}

// TransferLeadership transfers leadership to another replica, if this one leads. It returns once this replica no longer knows itself as the leader, ctx ends or transferTimeout has passed.
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

// startTransfer ends this leader's lease, since voters disregard it once they are asked to elect another leader.
func (r *Replica) startTransfer() {
	r.transferring = true
	r.leaseUntil.Store(0)
}

// tryTransfer transfers leadership once all proposals are committed.
func (r *Replica) tryTransfer() {
	if r.transferring && len(r.pending) == 0 {
		r.node.TransferLeadership()
	}
}
