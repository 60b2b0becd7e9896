package state

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

// start commits a queued task to a worker under the next attempt.
func (m *Machine) start(s *wire.Start) bool {
	j := m.jobs[s.Job]
	if j == nil {
		return false
	}
	at := j.find(s.Index)
	if at < 0 || !queued(j.tasks[at]) || s.Attempt != j.tasks[at].Attempt+1 {
		return false
	}
	w := m.workers[s.Worker]
	if w == nil || w.record.Gone || m.out(w.record.Domain) {
		return false
	}
	next := clone(j.tasks[at])
	next.State = wire.TaskState_TASK_STATE_STARTING
	next.Attempt = s.Attempt
	next.Worker = s.Worker
	next.Committed = s.Size
	next.Reason = ""
	return m.commit(j, at, next)
}

// commit puts next in the place of a task if its worker has the room; no other code commits resources.
func (m *Machine) commit(j *job, at int, next *wire.Task) bool {
	size := resource.FromWire(next.Committed)
	if !size.Valid() {
		return false
	}
	w := m.workers[next.Worker]
	room := w.capacity.Sub(w.committed).Add(resource.FromWire(j.tasks[at].Committed))
	if !size.Fits(room) {
		return false
	}
	m.replace(j, at, next)
	return true
}

// replace puts next in the place of a task, moves its commitment and tells of the transition.
func (m *Machine) replace(j *job, at int, next *wire.Task) {
	old := j.tasks[at]
	next.ChangedMs = m.now
	j.tasks[at] = next
	if held(old) {
		m.workers[old.Worker].drop(j, old)
	}
	if held(next) {
		m.workers[next.Worker].hold(j, next)
	}
	m.o.TaskChanged(j.Job, next)
	if held(old) {
		m.settle(m.workers[old.Worker])
	}
}

// requeue lets a task wait again, from its last accepted checkpoint if it has one.
func (m *Machine) requeue(j *job, at int, next *wire.Task) {
	next.State = wire.TaskState_TASK_STATE_QUEUED
	if next.Checkpoint > 0 {
		next.State = wire.TaskState_TASK_STATE_CHECKPOINTED
	}
	next.Worker = ""
	next.Committed = nil
	m.replace(j, at, next)
}

// end gives a task its last state.
func (m *Machine) end(j *job, at int, s wire.TaskState, reason string) {
	next := clone(j.tasks[at])
	next.State = s
	next.Reason = clip(reason, MaxReasonBytes)
	m.finish(j, at, next)
}

// finish puts a task that has ended in its place and counts it.
func (m *Machine) finish(j *job, at int, next *wire.Task) {
	next.Worker = ""
	next.Committed = nil
	next.CheckpointData = nil
	m.replace(j, at, next)
	m.live--
	j.open--
	m.count(j, next)
	if j.open == 0 {
		m.endJob(j)
	}
}

func (m *Machine) endJob(j *job) {
	m.ended = append(m.ended, j)
	m.endedTasks += len(j.tasks)
	m.classJobs[j.Class]--
	m.teamJobs[j.Team]--
}

// cancelledState says truly whether a cancelled task ever ran.
func cancelledState(t *wire.Task) wire.TaskState {
	if t.Started {
		return wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
	}
	return wire.TaskState_TASK_STATE_CANCELLED_NOT_RUN
}

func (m *Machine) out(domain string) bool {
	return configuration.Domain(m.configuration.Domains, domain).GetOut()
}
