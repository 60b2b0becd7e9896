package replica

import (
	"errors"
	"time"

	"daisyswitch/disk"
	"daisyswitch/event"
	"daisyswitch/proposal"
	"daisyswitch/raft"
	"daisyswitch/verdict"
)

// persist makes the records of a Ready durable. While the disk is full it keeps trying and takes no part in the group.
func (r *Replica) persist(ready *raft.Ready) error {
	for {
		err := r.writeRecords(ready)
		if !errors.Is(err, disk.ErrFull) {
			r.leaveFullDisk(err)
			return err
		}
		r.enterFullDisk(ready, err)
		if !r.waitForRoom() {
			return r.ctx.Err()
		}
	}
}

func (r *Replica) writeRecords(ready *raft.Ready) error {
	state := ready.State
	if ready.Snapshot != nil {
		if err := r.disk.InstallSnapshot(state, ready.Snapshot); err != nil {
			return err
		}
		state = nil
	}
	if state == nil && len(ready.Entries) == 0 {
		return nil
	}
	return r.disk.Append(state, ready.Entries)
}

// enterFullDisk ends the replica's part in the group for as long as its disk is full. A leader asks the voter that holds most of its log to take over, rather than have the group wait for an election timeout.
func (r *Replica) enterFullDisk(ready *raft.Ready, cause error) {
	if r.diskFull {
		return
	}
	r.diskFull = true
	event.DiskFull.Error(cause, "replica", r.options.ID, "leads", r.node.Role() == raft.Leader)
	r.leaseUntil.Store(0)
	r.publishInfo() // before any answer, so that whoever gets one can see why
	if m := r.node.TakeOverMessage(); m != nil && ready.State == nil {
		r.peers.Send(m)
	}
	r.failPending("the leader's disk is full")
	r.notifyLeadership()
}

// leaveFullDisk resumes the replica's part in the group after a write that found room or failed for another reason.
func (r *Replica) leaveFullDisk(err error) {
	if !r.diskFull {
		return
	}
	r.diskFull = false
	if err == nil {
		event.DiskHasRoom.Info("replica", r.options.ID)
	}
	r.publishInfo()
}

// waitForRoom waits for one tick, during which it refuses all requests and drops all messages, as they may be outdated once the disk has room. It returns false if the replica is being closed.
func (r *Replica) waitForRoom() bool {
	timer := time.NewTimer(r.options.Tick)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return false
		case <-timer.C:
			return true
		case m := <-r.peers.Inbox():
			r.peers.CheckAcknowledged(m)
		case p := <-r.proposals:
			p.Finish(proposal.Outcome{Err: r.notLeaderError(verdict.NotRun, "this replica's disk is full")})
		case read := <-r.reads:
			read.done <- r.notLeaderError(verdict.NotRun, "this replica's disk is full")
		}
	}
}
