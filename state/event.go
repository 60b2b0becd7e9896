package state

import (
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// event applies what became of one attempt and reports whether it changed anything; older attempts are never listened to.
func (m *Machine) event(e *wire.TaskEvent) bool {
	ref := FromWire(e.Task)
	j := m.jobs[ref.Job]
	if j == nil {
		return false
	}
	at := j.find(ref.Index)
	if at < 0 || j.tasks[at].Attempt != ref.Attempt {
		return false
	}
	if queued(j.tasks[at]) {
		return m.queuedEvent(j, at, e)
	}
	if held(j.tasks[at]) {
		return m.heldEvent(j, at, e)
	}
	return false
}

func (m *Machine) queuedEvent(j *job, at int, e *wire.TaskEvent) bool {
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_CANNOT_RUN:
		m.end(j, at, wire.TaskState_TASK_STATE_CANNOT_RUN, e.Reason)
	case wire.TaskEventKind_TASK_EVENT_KIND_GIVE_UP:
		m.end(j, at, wire.TaskState_TASK_STATE_FAILED, e.Reason)
	default:
		return false
	}
	return true
}

func (m *Machine) heldEvent(j *job, at int, e *wire.TaskEvent) bool {
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_RUNNING:
		return m.running(j, at)
	case wire.TaskEventKind_TASK_EVENT_KIND_CHECKPOINT:
		return m.checkpoint(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_STOPPING:
		return m.stopping(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_RESIZE:
		return m.resize(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_NOT_STARTED:
		return m.notStarted(j, at)
	}
	return m.endAttempt(j, at, e)
}

// endAttempt applies the events after which an attempt no longer runs.
func (m *Machine) endAttempt(j *job, at int, e *wire.TaskEvent) bool {
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_DONE:
		next := started(j.tasks[at])
		next.State = wire.TaskState_TASK_STATE_DONE
		next.Reason = ""
		m.finish(j, at, next)
	case wire.TaskEventKind_TASK_EVENT_KIND_FAILED:
		m.failed(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_STOPPED:
		m.stopped(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_WORKER_LOST:
		m.lost(j, at, e.Reason)
	default:
		return false
	}
	return true
}

func started(t *wire.Task) *wire.Task {
	next := clone(t)
	next.Started = true
	return next
}

func (m *Machine) running(j *job, at int) bool {
	t := j.tasks[at]
	if t.State == wire.TaskState_TASK_STATE_STOPPING && t.Started {
		return false
	}
	if t.State == wire.TaskState_TASK_STATE_RUNNING {
		return false
	}
	next := started(t)
	if t.State == wire.TaskState_TASK_STATE_STARTING {
		next.State = wire.TaskState_TASK_STATE_RUNNING
	}
	m.replace(j, at, next)
	return true
}

func (m *Machine) checkpoint(j *job, at int, e *wire.TaskEvent) bool {
	next := started(j.tasks[at])
	if !accept(next, e) {
		return false
	}
	if next.State == wire.TaskState_TASK_STATE_STARTING {
		next.State = wire.TaskState_TASK_STATE_RUNNING
	}
	m.replace(j, at, next)
	return true
}

// accept takes a checkpoint over that is newer than the last accepted one and not too large.
func accept(t *wire.Task, e *wire.TaskEvent) bool {
	if e.Checkpoint <= t.Checkpoint || len(e.CheckpointData) > MaxCheckpointBytes {
		return false
	}
	t.Checkpoint = e.Checkpoint
	t.CheckpointData = e.CheckpointData
	return true
}

func (m *Machine) stopping(j *job, at int, e *wire.TaskEvent) bool {
	if j.tasks[at].State == wire.TaskState_TASK_STATE_STOPPING {
		return false
	}
	next := clone(j.tasks[at])
	next.State = wire.TaskState_TASK_STATE_STOPPING
	next.Reason = clip(e.Reason, MaxReasonBytes)
	m.replace(j, at, next)
	return true
}

func (m *Machine) resize(j *job, at int, e *wire.TaskEvent) bool {
	next := clone(j.tasks[at])
	if next.State == wire.TaskState_TASK_STATE_STOPPING {
		return false
	}
	if resource.FromWire(e.Size) == resource.FromWire(next.Committed) {
		return false
	}
	next.Committed = e.Size
	return m.commit(j, at, next)
}

// notStarted frees an attempt that its worker never received; one that was seen running contradicts it.
func (m *Machine) notStarted(j *job, at int) bool {
	t := j.tasks[at]
	if t.State == wire.TaskState_TASK_STATE_RUNNING {
		return false
	}
	if t.Cancelled {
		m.end(j, at, cancelledState(t), t.Reason)
		return true
	}
	m.requeue(j, at, clone(t))
	return true
}

func (m *Machine) failed(j *job, at int, e *wire.TaskEvent) {
	next := started(j.tasks[at])
	next.Failures++
	if next.Cancelled {
		next.State = wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
		m.finish(j, at, next)
		return
	}
	next.Reason = clip(e.Reason, MaxReasonBytes)
	if next.Failures < failureLimit(j) {
		m.requeue(j, at, next)
		return
	}
	next.State = wire.TaskState_TASK_STATE_FAILED
	m.finish(j, at, next)
}

func failureLimit(j *job) uint32 {
	if j.service {
		return ServiceFailures
	}
	return BatchFailures
}

func (m *Machine) stopped(j *job, at int, e *wire.TaskEvent) {
	next := started(j.tasks[at])
	accept(next, e)
	if next.Cancelled {
		next.State = wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
		m.finish(j, at, next)
		return
	}
	if next.State == wire.TaskState_TASK_STATE_STOPPING {
		next.Evictions++
		m.tally(j.Class).Evicted++
	}
	m.requeue(j, at, next)
}

// lost ends an attempt whose worker's lease has surely ended: batch waits again, a service's replica is replaced by a new task.
func (m *Machine) lost(j *job, at int, reason string) {
	next := started(j.tasks[at])
	if next.Cancelled {
		next.State = wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
		m.finish(j, at, next)
		return
	}
	next.Reason = clip(reason, MaxReasonBytes)
	if !j.service {
		m.requeue(j, at, next)
		return
	}
	m.addTask(j, j.tasks[len(j.tasks)-1].Index+1)
	next.State = wire.TaskState_TASK_STATE_LOST
	m.finish(j, at, next)
	j.lost++
	m.foldLost(j)
}
