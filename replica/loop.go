package replica

import (
	"fmt"
	"time"

	"daisyswitch/event"
	"daisyswitch/proposal"
	"daisyswitch/raft"
	"daisyswitch/wire"
)

// maxSteps bounds the messages that are taken in before their records are synced.
const maxSteps = 256

// leaseMargin is by how many ticks a leader trusts its quorum less than followers promise: a follower's clock may have ticks due when it hears a leader.
const leaseMargin = 2

// loopState belongs to the loop's goroutine.
type loopState struct {
	pending      map[uint64]*proposal.Proposal // appended here and not committed, by index
	newReads     []*pendingRead
	roundReads   []*pendingRead
	rounds       []roundStart
	leaderTerm   uint64 // term in which this replica leads, 0 if it does not
	leading      bool   // told by OnLeadershipChange
	delivered    uint64 // last index handed to the applier
	transferring bool   // hands its leadership on
	lastLeader   uint64 // leader that was last told of
	recovering   bool
	failures     chan error
	err          error
}

// roundStart is when a heartbeat round was begun at the latest.
type roundStart struct {
	round uint64
	at    time.Duration
}

func (r *Replica) loop() {
	defer close(r.ended)
	defer r.leaseUntil.Store(0)
	defer r.failOnPanic()
	ticker := time.NewTicker(r.options.Tick)
	defer ticker.Stop()
	if !r.flush(r.elapsed()) {
		return
	}
	for r.step(ticker.C) {
	}
	r.failPending("this replica no longer takes part")
	r.rejectReads()
}

// step waits for one event, takes in what else is at hand, and does what the node asks for; it returns false at the end.
func (r *Replica) step(ticks <-chan time.Time) bool {
	var now time.Duration
	select {
	case <-r.ctx.Done():
		return false
	case err := <-r.failures:
		return r.fail(err)
	case <-ticks:
		now = r.elapsed()
		r.node.Tick()
		r.peers.ReconnectStalled()
		r.reconfigure()
	case m := <-r.peers.Inbox():
		now = r.elapsed()
		r.receive(m)
	case p := <-r.proposals:
		now = r.elapsed()
		r.propose(p)
	case q := <-r.reads:
		now = r.elapsed()
		r.newReads = append(r.newReads, q)
	case index := <-r.savedSnapshots:
		return r.compact(index)
	case seeds := <-r.seeds:
		now = r.elapsed()
		r.useSeeds(seeds)
	case <-r.transfers:
		now = r.elapsed()
		r.transferring = true
		r.leaseUntil.Store(0)
	}
	r.receiveMore()
	return r.flush(now)
}

// receiveMore takes in more without waiting, so that one sync serves it all.
func (r *Replica) receiveMore() {
	for range maxSteps {
		select {
		case m := <-r.peers.Inbox():
			r.receive(m)
		case q := <-r.reads:
			r.newReads = append(r.newReads, q)
		case p := <-r.proposals:
			r.propose(p)
		default:
			return
		}
	}
}

func (r *Replica) receive(m *wire.Message) {
	r.peers.Receive(m)
	r.connectMembers(m.GetMembers())
	r.node.Step(m)
}

// flush syncs, sends and applies until the node asks for nothing more.
func (r *Replica) flush(now time.Duration) bool {
	r.updateRole()
	r.startReadRound()
	r.tryTransfer()
	for {
		r.updateLease(now)
		ready := r.node.Ready()
		if ready.Empty() {
			break
		}
		if err := r.sendAll(ready.EarlyMessages); err != nil {
			return r.fail(err)
		}
		if err := r.persist(&ready); err != nil {
			return r.fail(err)
		}
		r.node.Synced()
		if err := r.sendAll(ready.Messages); err != nil {
			return r.fail(err)
		}
		r.enqueueCommitted(&ready)
		r.updateRole()
	}
	r.completeReads()
	r.notifyLeadership()
	r.publish()
	return true
}

func (r *Replica) persist(ready *raft.Ready) error {
	state := ready.State
	if ready.Snapshot != nil {
		if err := r.disk.Install(state, ready.Snapshot); err != nil {
			return err
		}
		state = nil
	}
	if state == nil && len(ready.Entries) == 0 {
		return nil
	}
	return r.disk.Append(state, ready.Entries)
}

func (r *Replica) sendAll(messages []*wire.Message) error {
	for _, m := range messages {
		if m.GetKind() == wire.MessageKind_MESSAGE_KIND_SNAPSHOT {
			s, err := r.disk.ReadSnapshot()
			if err != nil {
				return err
			}
			m.Index, m.LogTerm, m.Snapshot, m.Members = s.GetIndex(), s.GetTerm(), s.GetData(), s.GetMembers()
		}
		r.peers.Send(m)
	}
	return nil
}

// enqueueCommitted gives the applier what is committed.
func (r *Replica) enqueueCommitted(ready *raft.Ready) {
	if s := ready.Snapshot; s != nil {
		r.delivered = s.GetIndex()
		r.applier.Push(func() { r.restore(s) })
	}
	if len(ready.Commit) == 0 {
		return
	}
	entries := make([]committed, len(ready.Commit))
	for i, e := range ready.Commit {
		entries[i] = committed{Entry: e, proposal: r.pending[e.GetIndex()]}
		delete(r.pending, e.GetIndex())
	}
	r.delivered = entries[len(entries)-1].GetIndex()
	r.applier.Push(func() { r.apply(entries) })
}

// updateRole notices that this replica began or ended to lead.
func (r *Replica) updateRole() {
	led := uint64(0)
	if r.node.Role() == raft.Leader {
		led = r.node.Term()
	}
	if leader := r.node.Leader(); leader != r.lastLeader && leader != 0 && leader != r.options.ID {
		event.ReplicaFollows.Info("replica", r.options.ID, "leader", leader, "term", r.node.Term())
	}
	r.lastLeader = r.node.Leader()
	if r.recovering && !r.node.Recovering() {
		r.recovering = false
		event.ReplicaRecovered.Info("replica", r.options.ID, "commit", r.node.Commit())
	}
	if led == r.leaderTerm {
		return
	}
	r.leaderTerm = led
	r.transferring = false
	r.rounds = nil
	r.leaseUntil.Store(0)
	r.publish()
	r.failPending("this replica lost its leadership")
	r.rejectReads()
}

// updateLease keeps when rounds began and extends the leader's lease by those that a quorum answered.
func (r *Replica) updateLease(now time.Duration) {
	if r.leaderTerm == 0 {
		return
	}
	last := uint64(0)
	if len(r.rounds) > 0 {
		last = r.rounds[len(r.rounds)-1].round
	}
	if round := r.node.Round(); round > max(last, r.node.Confirmed()) || r.node.SoleVoter() {
		r.rounds = append(r.rounds, roundStart{round: round, at: now})
		r.assignReads(round)
	}
	lease := time.Duration(r.options.ElectionTicks-leaseMargin) * r.options.Tick
	for len(r.rounds) > 0 && r.rounds[0].round <= r.node.Confirmed() {
		if !r.transferring {
			r.leaseUntil.Store(int64(r.rounds[0].at + lease))
		}
		r.rounds = r.rounds[1:]
	}
}

// notifyLeadership tells of a change of leadership after what was committed before it.
func (r *Replica) notifyLeadership() {
	leading := r.canServe()
	if leading == r.leading {
		return
	}
	r.leading = leading
	term := r.node.Term()
	if leading {
		event.ReplicaLeads.Info("replica", r.options.ID, "term", term)
	} else {
		event.ReplicaStopsLead.Info("replica", r.options.ID, "term", term)
	}
	r.applier.Push(func() { r.options.OnLeadershipChange(leading, term) })
}

// compact removes the log before a snapshot, but for a tail for followers that are only a little behind.
func (r *Replica) compact(index uint64) bool {
	keepFrom := index - min(index, r.options.SnapshotEvery/2)
	if err := r.disk.Compact(index, keepFrom); err != nil {
		return r.fail(err)
	}
	r.node.Compact(index, keepFrom)
	return true
}

// failOnPanic ends the replica's part in the group when the step function finds a rule of the protocol broken.
func (r *Replica) failOnPanic() {
	if broken := recover(); broken != nil {
		r.fail(fmt.Errorf("rule of the log broken: %v", broken))
		r.rejectReads()
	}
}

// fail ends the replica's part in the group: after a failed sync nobody knows what is on disk.
func (r *Replica) fail(err error) bool {
	event.ReplicaFailed.Error(err, "replica", r.options.ID)
	r.err = err
	r.leaseUntil.Store(0)
	r.publish()
	if r.leading {
		term := r.node.Term()
		r.applier.Push(func() { r.options.OnLeadershipChange(false, term) })
	}
	r.applier.Push(func() { r.options.OnFailure(err) })
	r.failPending("this replica failed")
	return false
}
