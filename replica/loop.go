package replica

import (
	"fmt"
	"time"

	"daisyswitch/event"
	"daisyswitch/proposal"
	"daisyswitch/raft"
	"daisyswitch/wire"
)

// maxEventsPerFlush bounds the messages, reads and proposals handled before their records are synced.
const maxEventsPerFlush = 256

// leaseMarginTicks is how many ticks shorter a leader's lease is than the time for which followers promise not to vote. A follower may still have overdue ticks to count when it hears from the leader.
const leaseMarginTicks = 2

// loopState is used only by the loop's goroutine.
type loopState struct {
	pending       map[uint64]*proposal.Proposal // appended by this replica but not yet committed, by index
	newReads      []*pendingRead
	assignedReads []*pendingRead
	roundStarts   []roundStart
	leaderTerm    uint64    // term in which this replica leads, 0 if it does not
	leading       bool      // last value queued for the leadership callback
	delivered     uint64    // last index queued in the applier
	transferring  bool      // is transferring its leadership
	lastLeader    uint64    // leader seen by the last updateRole
	lastRole      raft.Role // role seen by the last updateRole
	recovering    bool
	diskFull      bool
	failures      chan error
	err           error
}

// roundStart holds a time no later than the start of a heartbeat round.
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
	r.failPending("this replica has stopped")
	r.rejectReads()
}

// step waits for one event, handles the others that are ready, and carries out the node's resulting work. It returns false when the loop must end.
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
		if r.node.LeadsWithoutVote() {
			r.startTransfer()
		}
		r.reconfigure()
	case m := <-r.peers.Inbox():
		now = r.elapsed()
		r.receive(m)
	case p := <-r.proposals:
		now = r.elapsed()
		r.propose(p)
	case read := <-r.reads:
		now = r.elapsed()
		r.newReads = append(r.newReads, read)
	case index := <-r.savedSnapshots:
		return r.compact(index)
	case seeds := <-r.seeds:
		now = r.elapsed()
		r.useSeeds(seeds)
	case <-r.transfers:
		now = r.elapsed()
		r.startTransfer()
	}
	r.receiveMore()
	return r.flush(now)
}

// receiveMore handles further events without waiting, so that one sync covers them all.
func (r *Replica) receiveMore() {
	for range maxEventsPerFlush {
		select {
		case m := <-r.peers.Inbox():
			r.receive(m)
		case read := <-r.reads:
			r.newReads = append(r.newReads, read)
		case p := <-r.proposals:
			r.propose(p)
		default:
			return
		}
	}
}

func (r *Replica) receive(m *wire.Message) {
	r.peers.CheckAcknowledged(m)
	r.connectMembers(m.GetMembers())
	r.node.Step(m)
}

// flush syncs, sends and queues entries to apply until the node has no more work.
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
			return r.ctx.Err() == nil && r.fail(err)
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
	r.publishInfo()
	return true
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

// enqueueCommitted queues a received snapshot and the committed entries in the applier.
func (r *Replica) enqueueCommitted(ready *raft.Ready) {
	if s := ready.Snapshot; s != nil {
		r.delivered = s.GetIndex()
		r.applier.Push(func() { r.restoreSnapshot(s) })
	}
	if len(ready.Commit) == 0 {
		return
	}
	entries := make([]committedEntry, len(ready.Commit))
	for i, e := range ready.Commit {
		entries[i] = committedEntry{Entry: e, proposal: r.pending[e.GetIndex()]}
		delete(r.pending, e.GetIndex())
	}
	r.delivered = entries[len(entries)-1].GetIndex()
	r.applier.Push(func() { r.applyEntries(entries) })
}

// updateRole logs a campaign, a new leader and the end of a recovery. When this replica gains or loses leadership, it resets the leader's state and fails the pending proposals and reads.
func (r *Replica) updateRole() {
	leadingTerm := uint64(0)
	if r.node.Role() == raft.Leader {
		leadingTerm = r.node.Term()
	}
	if leader := r.node.Leader(); leader != r.lastLeader && leader != 0 && leader != r.options.ID {
		event.ReplicaFollows.Info("replica", r.options.ID, "leader", leader, "term", r.node.Term())
	}
	r.lastLeader = r.node.Leader()
	r.logCampaign()
	if r.recovering && !r.node.Recovering() {
		r.recovering = false
		event.ReplicaRecovered.Info("replica", r.options.ID, "commit", r.node.Commit())
	}
	if leadingTerm == r.leaderTerm {
		return
	}
	r.leaderTerm = leadingTerm
	r.transferring = false
	r.roundStarts = nil
	r.leaseUntil.Store(0)
	r.publishInfo()
	r.failPending("this replica lost its leadership before the record was committed")
	r.rejectReads()
}

// logCampaign logs the stage of a campaign that has begun since the last call.
func (r *Replica) logCampaign() {
	role := r.node.Role()
	if role == r.lastRole {
		return
	}
	r.lastRole = role
	switch role {
	case raft.PreCandidate:
		event.ReplicaCampaigns.Info("replica", r.options.ID, "term", r.node.Term()+1, "stage", "pre_vote")
	case raft.Candidate:
		event.ReplicaCampaigns.Info("replica", r.options.ID, "term", r.node.Term(), "stage", "vote")
	}
}

// updateLease records when heartbeat rounds start and extends the leader's lease from the start of each round that a quorum has answered.
func (r *Replica) updateLease(now time.Duration) {
	if r.leaderTerm == 0 {
		return
	}
	last := uint64(0)
	if len(r.roundStarts) > 0 {
		last = r.roundStarts[len(r.roundStarts)-1].round
	}
	if round := r.node.Round(); round > max(last, r.node.Confirmed()) || r.node.SoleVoter() {
		r.roundStarts = append(r.roundStarts, roundStart{round: round, at: now})
		r.assignReads(round)
	}
	lease := time.Duration(r.options.ElectionTicks-leaseMarginTicks) * r.options.Tick
	for len(r.roundStarts) > 0 && r.roundStarts[0].round <= r.node.Confirmed() {
		if !r.transferring {
			r.leaseTerm.Store(r.leaderTerm)
			r.leaseUntil.Store(int64(r.roundStarts[0].at + lease))
		}
		r.roundStarts = r.roundStarts[1:]
	}
}

// notifyLeadership queues the leadership callback in the applier, after the entries committed before the change.
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
		event.ReplicaStopsLeading.Info("replica", r.options.ID, "term", term)
	}
	r.applier.Push(func() {
		r.servedTerm.Store(0)
		r.options.OnLeadershipChange(leading, term)
		if leading {
			r.servedTerm.Store(term)
		}
	})
}

// compact removes the log up to a snapshot. It keeps the last entries, half of those between two snapshots, so that followers which are only slightly behind do not need the snapshot.
func (r *Replica) compact(index uint64) bool {
	keepFrom := r.node.TailBefore(index, r.options.SnapshotEvery/2, r.options.SnapshotBytes/2)
	if err := r.disk.Compact(index, keepFrom); err != nil {
		return r.fail(err)
	}
	r.node.Compact(index, keepFrom)
	return true
}

// failOnPanic stops the replica when package raft panics over a violated invariant of the protocol.
func (r *Replica) failOnPanic() {
	if violation := recover(); violation != nil {
		r.fail(fmt.Errorf("invariant of the replicated log violated: %v", violation))
		r.rejectReads()
	}
}

// fail stops the replica: after a failed sync, the contents of its disk are unknown. It always returns false.
func (r *Replica) fail(err error) bool {
	event.ReplicaFailed.Error(err, "replica", r.options.ID)
	r.err = err
	r.leaseUntil.Store(0)
	r.publishInfo()
	if r.leading {
		term := r.node.Term()
		r.applier.Push(func() { r.options.OnLeadershipChange(false, term) })
	}
	r.applier.Push(func() { r.options.OnFailure(err) })
	r.failPending("this replica failed before the record was committed")
	return false
}
