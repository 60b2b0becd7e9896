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

// Read answers what the leader holds, once a quorum has confirmed that it leads.
func (c *Control) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	if !c.serves() {
		return &wire.ReadReply{Failure: c.notLeader()}, nil
	}
	if err := c.replica.Confirm(ctx); err != nil {
		return &wire.ReadReply{Failure: c.failure(err)}, nil
	}
	switch request.Kind {
	case wire.ReadKind_READ_KIND_STATUS:
		return &wire.ReadReply{Status: c.status(time.Now())}, nil
	case wire.ReadKind_READ_KIND_AUDIT:
		records, folded := c.machine.Audit(request.After, int(request.Limit))
		return &wire.ReadReply{Audit: records, AuditFolded: folded}, nil
	case wire.ReadKind_READ_KIND_JOB:
		return &wire.ReadReply{Job: c.job(ctx, request.Job)}, nil
	default:
		return nil, fmt.Errorf("read of unknown kind %v", request.Kind)
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
			s.WorkersLost++
			return
		}
		s.Workers++
		capacity = capacity.Add(resource.FromWire(w.Capacity))
	})
	c.machine.Each(func(_ *wire.Job, t *wire.Task) {
		if task.Held(t) {
			committed = committed.Add(resource.FromWire(t.Committed))
		}
	})
	s.Capacity = capacity.Wire()
	s.Committed = committed.Wire()
}

func (c *Control) classStatuses(now time.Time, configuration *wire.Configuration) []*wire.ClassStatus {
	byName := map[string]*wire.ClassStatus{}
	var out []*wire.ClassStatus
	for _, class := range configuration.GetClasses() {
		seen := c.measures.Class(now, class.Name)
		s := &wire.ClassStatus{Class: class, P99Us: seen.P99US, Requests: seen.Requests}
		byName[class.Name] = s
		out = append(out, s)
	}
	c.machine.Each(func(j *wire.Job, t *wire.Task) {
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
	return out
}

// job returns a copy of a job's record in which waiting tasks say why they wait.
func (c *Control) job(ctx context.Context, id string) *wire.JobRecord {
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
