package replica

import (
	"context"
	"time"

	"daisyswitch/event"
	"daisyswitch/membership"
	"daisyswitch/raft"
	"daisyswitch/wire"
)

// handOverTime is the longest wait for another replica to lead; a follower needs one round of votes and a sync.
const handOverTime = 500 * time.Millisecond

// SetSeeds replaces the addresses where replicas may be found.
func (r *Replica) SetSeeds(seeds map[uint64]string) {
	select {
	case r.seeds <- seeds:
	case <-r.ended:
	}
}

func (r *Replica) useSeeds(seeds map[uint64]string) {
	for id, address := range seeds {
		r.peers.Know(id, address)
	}
	r.node.SetContacts(ids(seeds))
}

// meet opens connections to the members of a group.
func (r *Replica) meet(members *wire.Members) {
	for _, m := range members.GetMembers() {
		r.peers.Know(m.GetId(), m.GetAddress())
	}
}

// reconfigure proposes the next change of the group, if one is due and the last one is committed.
func (r *Replica) reconfigure() {
	if !r.o.Found || r.node.Role() != raft.Leader || r.yielding {
		return
	}
	standings, joining := r.node.Standings()
	view := &membership.View{
		Self: r.o.ID, Members: r.node.Members(), Others: standings, Joining: joining,
		Last: r.node.Last(), Tick: r.o.Tick, Losses: r.o.Losses, Replaces: true,
	}
	next := membership.Next(view)
	if next == nil || !r.node.Reconfigure(r.withAddresses(next)) {
		return
	}
	event.MembersChanged.Info("replica", r.o.ID, "members", describe(next))
	r.meet(next)
}

// withAddresses adds the addresses that the group's first configuration lacks.
func (r *Replica) withAddresses(members *wire.Members) *wire.Members {
	for _, m := range members.GetMembers() {
		switch {
		case m.GetId() == r.o.ID:
			m.Address, m.Domain = r.o.Address, r.o.Domain
		case m.GetAddress() == "":
			m.Address = r.peers.Address(m.GetId())
		}
	}
	return members
}

func describe(members *wire.Members) []string {
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

// HandOver ends this replica's leadership, if it leads, and returns once another leads or ctx ends.
func (r *Replica) HandOver(ctx context.Context) {
	if r.Info().Leader != r.o.ID {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	select {
	case r.yields <- struct{}{}:
	case <-r.ended:
		return
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil && r.Info().Leader == r.o.ID {
		select {
		case <-ctx.Done():
		case <-r.ended:
			return
		case <-time.After(r.o.Tick / 5):
		}
	}
	event.LeadershipHandedOver.Info("replica", r.o.ID, "leader", r.Info().Leader)
}

// yield hands the leadership on once all that was proposed is committed.
func (r *Replica) yield() {
	if r.yielding && len(r.pending) == 0 {
		r.node.HandOver()
	}
}
