package job

import (
	"daisyswitch/configuration"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Ref names one attempt of a task.
type Ref struct {
	Job     string
	Index   int32
	Attempt uint32
}

// RefOf returns the name of a task's current attempt.
func RefOf(t *wire.Task) Ref { return Ref{t.Job, t.Index, t.Attempt} }

// FromWire converts the message form.
func FromWire(r *wire.TaskRef) Ref { return Ref{r.GetJob(), r.GetIndex(), r.GetAttempt()} }

// Wire returns the message form.
func (r Ref) Wire() *wire.TaskRef {
	return &wire.TaskRef{Job: r.Job, Index: r.Index, Attempt: r.Attempt}
}

// queued reports whether a task waits for a worker.
func queued(t *wire.Task) bool {
	return t.State == wire.TaskState_TASK_STATE_QUEUED || t.State == wire.TaskState_TASK_STATE_CHECKPOINTED
}

// held reports whether a task is committed to a worker.
func held(t *wire.Task) bool {
	switch t.State {
	case wire.TaskState_TASK_STATE_STARTING, wire.TaskState_TASK_STATE_RUNNING, wire.TaskState_TASK_STATE_STOPPING:
		return true
	}
	return false
}

// clone returns a copy to be altered and put in the place of t, which readers may still hold.
func clone(t *wire.Task) *wire.Task {
	return &wire.Task{
		Job: t.Job, Index: t.Index, State: t.State, Attempt: t.Attempt, Worker: t.Worker, Committed: t.Committed,
		Checkpoint: t.Checkpoint, CheckpointData: t.CheckpointData, Failures: t.Failures, Reason: t.Reason,
		ChangedMs: t.ChangedMs, Evictions: t.Evictions, Cancelled: t.Cancelled, Started: t.Started,
	}
}

// Start commits a queued task to a worker under the next attempt.
func (tb *Table) Start(s *wire.Start) bool {
	j := tb.jobs[s.Job]
	if j == nil {
		return false
	}
	at := j.find(s.Index)
	if at < 0 || !queued(j.tasks[at]) || s.Attempt != j.tasks[at].Attempt+1 {
		return false
	}
	w := tb.workers[s.Worker]
	if w == nil || w.record.Gone || tb.out(w.record.Domain) {
		return false
	}
	next := clone(j.tasks[at])
	next.State = wire.TaskState_TASK_STATE_STARTING
	next.Attempt = s.Attempt
	next.Worker = s.Worker
	next.Committed = s.Size
	next.Reason = ""
	return tb.commit(j, at, next)
}

// commit puts next in the place of a task if its worker has the room; no other code commits resources.
func (tb *Table) commit(j *job, at int, next *wire.Task) bool {
	size := resource.FromWire(next.Committed)
	if !size.Valid() {
		return false
	}
	w := tb.workers[next.Worker]
	room := w.capacity.Sub(w.committed).Add(resource.FromWire(j.tasks[at].Committed))
	if !size.Fits(room) {
		return false
	}
	tb.replace(j, at, next)
	return true
}

// replace puts next in the place of a task, moves its commitment and tells of the transition.
func (tb *Table) replace(j *job, at int, next *wire.Task) {
	old := j.tasks[at]
	next.ChangedMs = tb.now
	j.tasks[at] = next
	if held(old) {
		tb.workers[old.Worker].drop(j, old)
	}
	if held(next) {
		tb.workers[next.Worker].hold(j, next)
	}
	tb.o.TaskChanged(j.Job, next)
	if held(old) {
		tb.settle(tb.workers[old.Worker])
	}
}

// requeue lets a task wait again, from its last accepted checkpoint if it has one.
func (tb *Table) requeue(j *job, at int, next *wire.Task) {
	next.State = wire.TaskState_TASK_STATE_QUEUED
	if next.Checkpoint > 0 {
		next.State = wire.TaskState_TASK_STATE_CHECKPOINTED
	}
	next.Worker = ""
	next.Committed = nil
	tb.replace(j, at, next)
}

// end gives a task its last state.
func (tb *Table) end(j *job, at int, s wire.TaskState, reason string) {
	next := clone(j.tasks[at])
	next.State = s
	next.Reason = configuration.Clip(reason, MaxReasonBytes)
	tb.finish(j, at, next)
}

// finish puts a task that has ended in its place and counts it.
func (tb *Table) finish(j *job, at int, next *wire.Task) {
	next.Worker = ""
	next.Committed = nil
	next.CheckpointData = nil
	tb.replace(j, at, next)
	tb.live--
	j.open--
	tb.count(j, next)
	if j.open == 0 {
		tb.endJob(j)
	}
}

func (tb *Table) endJob(j *job) {
	tb.ended = append(tb.ended, j)
	tb.endedTasks += len(j.tasks)
	tb.classJobs[j.Class]--
	tb.teamJobs[j.Team]--
}

// cancelledState says truly whether a cancelled task ever ran.
func cancelledState(t *wire.Task) wire.TaskState {
	if t.Started {
		return wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
	}
	return wire.TaskState_TASK_STATE_CANCELLED_NOT_RUN
}

func (tb *Table) out(domain string) bool {
	return configuration.Domain(tb.o.Configuration().Domains, domain).GetOut()
}
