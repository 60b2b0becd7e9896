package control

import (
	"context"
	"fmt"
	"sort"
	"time"

	"daisyswitch/resource"
	"daisyswitch/task"
	"daisyswitch/wire"
)

// Read answers from the leader's state after a quorum has confirmed that it still leads.
func (c *Control) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	if !c.isServingLeader() {
		return &wire.ReadReply{Failure: c.notLeaderFailure()}, nil
	}
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return &wire.ReadReply{Failure: c.failure(err)}, nil
	}
	switch request.Kind {
	case wire.ReadKind_READ_KIND_STATUS:
		return &wire.ReadReply{Status: c.status(time.Now())}, nil
	case wire.ReadKind_READ_KIND_AUDIT:
		records, folded := c.machine.Audit(request.After, int(request.Limit))
		return &wire.ReadReply{Audit: records, AuditFolded: folded}, nil
	case wire.ReadKind_READ_KIND_JOB:
		return &wire.ReadReply{Job: c.jobWithWaitReasons(ctx, request.Job)}, nil
	default:
		return nil, fmt.Errorf("read request: unknown kind %v", request.Kind)
	}
}

func (c *Control) status(now time.Time) *wire.Status {
	info := c.replica.Info()
	configuration := c.machine.Configuration()
	s := &wire.Status{
		Configuration: configuration,
		Leader:        info.Leader,
		Term:          info.Term,
		Index:         info.Applied,
		Entries:       c.measures.Entries(now),
		Classes:       c.classStatuses(now, configuration),
	}
	for _, peer := range info.Peers {
		s.Replicas = append(s.Replicas, &wire.ReplicaStatus{Id: peer.ID, Address: peer.Address, Match: peer.Match, Active: peer.Active})
	}
	sort.Slice(s.Replicas, func(i, j int) bool { return s.Replicas[i].Id < s.Replicas[j].Id })
	c.countWorkers(s)
	return s
}

func (c *Control) countWorkers(s *wire.Status) {
	var capacity, committed resource.Size
	c.machine.EachWorker(func(w *wire.WorkerRecord) {
		if w.Gone {
			s.WorkersGone++
			return
		}
		s.Workers++
		capacity = capacity.Add(resource.FromWire(w.Capacity))
	})
	c.machine.EachTask(func(_ *wire.Job, t *wire.Task) {
		if task.Held(t) {
			committed = committed.Add(resource.FromWire(t.Committed))
		}
	})
	s.Capacity = capacity.Wire()
	s.Committed = committed.Wire()
}

func (c *Control) classStatuses(now time.Time, configuration *wire.Configuration) []*wire.ClassStatus {
	byName := map[string]*wire.ClassStatus{}
	var statuses []*wire.ClassStatus
	for _, class := range configuration.GetClasses() {
		measured := c.measures.Class(now, class.Name)
		s := &wire.ClassStatus{Class: class, P99Us: measured.P99US, Requests: measured.Requests}
		byName[class.Name] = s
		statuses = append(statuses, s)
	}
	c.machine.EachTask(func(j *wire.Job, t *wire.Task) {
		s := byName[j.Class]
		if s == nil {
			return
		}
		switch {
		case task.Held(t):
			s.Running++
		case task.Queued(t):
			s.Queued++
		}
	})
	for _, tally := range c.machine.Tallies() {
		if s := byName[tally.Class]; s != nil {
			s.Tally = tally
		}
	}
	return statuses
}

// jobWithWaitReasons returns a job's record, with the reason filled in for each queued task.
func (c *Control) jobWithWaitReasons(ctx context.Context, id string) *wire.JobRecord {
	record := c.machine.Job(id)
	if record == nil {
		return nil
	}
	var waiting []*wire.Task
	var indexes []int32
	for _, t := range record.Tasks {
		if task.Queued(t) {
			waiting = append(waiting, t)
			indexes = append(indexes, t.Index)
		}
	}
	if len(waiting) == 0 {
		return record
	}
	for i, reason := range c.schedule.Why(ctx, id, indexes) {
		waiting[i].Reason = reason
	}
	return record
}
