package operator

import (
	"fmt"
	"strings"
	"time"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

var classKinds = map[string]wire.ClassKind{
	KindService: wire.ClassKind_CLASS_KIND_SERVICE,
	KindBatch:   wire.ClassKind_CLASS_KIND_BATCH,
}

var outcomes = map[wire.Outcome]string{
	wire.Outcome_OUTCOME_ACCEPTED: OutcomeAccepted,
	wire.Outcome_OUTCOME_CONFLICT: OutcomeConflict,
	wire.Outcome_OUTCOME_REFUSED:  OutcomeRefused,
}

func (c Class) wire() (*wire.Class, error) {
	kind, known := classKinds[c.Kind]
	if !known {
		return nil, fmt.Errorf("kind %q is neither %q nor %q", c.Kind, KindService, KindBatch)
	}
	return &wire.Class{
		Name:         c.Name,
		Kind:         kind,
		TargetP99Us:  c.TargetP99US,
		TargetVolume: c.TargetVolume,
		DueMinute:    c.DueMinute,
	}, nil
}

func classFromWire(c *wire.Class) Class {
	kind := KindService
	if c.GetKind() == wire.ClassKind_CLASS_KIND_BATCH {
		kind = KindBatch
	}
	return Class{
		Name:         c.GetName(),
		Kind:         kind,
		TargetP99US:  c.GetTargetP99Us(),
		TargetVolume: c.GetTargetVolume(),
		DueMinute:    c.GetDueMinute(),
	}
}

func (j Job) wire() *wire.Job {
	return &wire.Job{
		Id:         j.ID,
		Team:       j.Team,
		Class:      j.Class,
		Program:    j.Program,
		Urgent:     j.Urgent,
		Size:       j.Size.Wire(),
		Tasks:      j.Tasks,
		ExpectedMs: j.ExpectedMS,
		MinDomains: j.MinDomains,
	}
}

func jobFromWire(j *wire.Job) Job {
	return Job{
		ID:         j.GetId(),
		Team:       j.GetTeam(),
		Class:      j.GetClass(),
		Program:    j.GetProgram(),
		Urgent:     j.GetUrgent(),
		Size:       resource.FromWire(j.GetSize()),
		Tasks:      j.GetTasks(),
		ExpectedMS: j.GetExpectedMs(),
		MinDomains: j.GetMinDomains(),
	}
}

func configurationFromWire(c *wire.Configuration) Configuration {
	out := Configuration{Version: c.GetVersion(), Classes: []Class{}, Teams: []Team{}, Domains: []Domain{}}
	for _, class := range c.GetClasses() {
		out.Classes = append(out.Classes, classFromWire(class))
	}
	for _, team := range c.GetTeams() {
		out.Teams = append(out.Teams, Team{Name: team.Name, Quota: resource.FromWire(team.Quota)})
	}
	for _, domain := range c.GetDomains() {
		out.Domains = append(out.Domains, Domain{Name: domain.Name, Out: domain.Out})
	}
	return out
}

func auditRecordFromWire(r *wire.AuditRecord) *AuditRecord {
	if r == nil {
		return nil
	}
	return &AuditRecord{
		Index:    r.Index,
		Time:     fromMillis(r.TimeMs),
		Operator: r.Operator,
		Sequence: r.Sequence,
		Action:   r.Action,
		Before:   r.Before,
		After:    r.After,
		Version:  r.Version,
		Outcome:  outcomes[r.Outcome],
		Reason:   r.Reason,
	}
}

func changeResultFromWire(r *wire.ChangeResult) Result {
	return Result{
		Outcome: outcomes[r.GetOutcome()],
		Version: r.GetVersion(),
		Reason:  r.GetReason(),
		Winner:  auditRecordFromWire(r.GetWinner()),
	}
}

func jobResultFromWire(r *wire.JobResult) Result {
	return Result{Outcome: outcomes[r.GetOutcome()], Job: r.GetJob(), Reason: r.GetReason()}
}

func jobStatusFromWire(r *wire.JobRecord) JobStatus {
	out := JobStatus{Job: jobFromWire(r.Job), Cancelled: r.Cancelled, Submitted: fromMillis(r.SubmittedMs)}
	for _, t := range r.Tasks {
		out.Tasks = append(out.Tasks, Task{
			Index:      t.Index,
			State:      stateName(t.State),
			Attempt:    t.Attempt,
			Worker:     t.Worker,
			Checkpoint: t.Checkpoint,
			Failures:   t.Failures,
			Evictions:  t.Evictions,
			Reason:     t.Reason,
			Changed:    fromMillis(t.ChangedMs),
		})
	}
	return out
}

// stateName turns TASK_STATE_CANCELLED_NOT_RUN into cancelled_not_run.
func stateName(s wire.TaskState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "TASK_STATE_"))
}

func statusFromWire(s *wire.Status) Status {
	out := Status{
		Configuration: configurationFromWire(s.Configuration),
		Classes:       []ClassStatus{},
		Leader:        s.Leader,
		Term:          s.Term,
		Index:         s.Index,
		Workers:       s.Workers,
		WorkersGone:   s.WorkersGone,
		Capacity:      resource.FromWire(s.Capacity),
		Committed:     resource.FromWire(s.Committed),
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, ClassStatus{
			Class:     classFromWire(c.Class),
			P99US:     c.P99Us,
			Requests:  c.Requests,
			Queued:    c.Queued,
			Running:   c.Running,
			Done:      c.Tally.GetDone(),
			DoneToday: c.Tally.GetDoneToday(),
			Failed:    c.Tally.GetFailed(),
			Evicted:   c.Tally.GetEvicted(),
		})
	}
	for _, r := range s.Replicas {
		out.Replicas = append(out.Replicas, Replica{ID: r.Id, Address: r.Address, Match: r.Match, Active: r.Active})
	}
	for _, e := range s.Entries {
		out.Entries = append(out.Entries, Entry{Name: e.Name, Domain: e.Domain, Version: e.Version, SilentMS: e.SilentMs})
	}
	return out
}

func fromMillis(ms int64) time.Time {
	return time.UnixMilli(ms).UTC()
}
