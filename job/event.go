package job

import (
	"daisyswitch/configuration"
	"daisyswitch/resource"
	"daisyswitch/task"
	"daisyswitch/wire"
)

// Event applies what became of one attempt and reports whether it changed anything; older attempts are never listened to.
func (tb *Table) Event(e *wire.TaskEvent) bool {
	ref := task.FromWire(e.Task)
	j := tb.jobs[ref.Job]
	if j == nil {
		return false
	}
	at := j.find(ref.Index)
	if at < 0 || j.tasks[at].Attempt != ref.Attempt {
		return false
	}
	if task.Queued(j.tasks[at]) {
		return tb.queuedEvent(j, at, e)
	}
	if task.Held(j.tasks[at]) {
		return tb.heldEvent(j, at, e)
	}
	return false
}

// queuedEvent also takes the end of an attempt that was thought lost, told late by its worker before the task started again.
func (tb *Table) queuedEvent(j *job, at int, e *wire.TaskEvent) bool {
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_DONE:
		if !j.tasks[at].Started {
			return false
		}
		tb.end(j, at, wire.TaskState_TASK_STATE_DONE, "")
	case wire.TaskEventKind_TASK_EVENT_KIND_STOPPED:
		next := task.Clone(j.tasks[at])
		if !next.Started || !task.Accept(next, e) {
			return false
		}
		tb.requeue(j, at, next)
	case wire.TaskEventKind_TASK_EVENT_KIND_CANNOT_RUN:
		tb.end(j, at, wire.TaskState_TASK_STATE_CANNOT_RUN, e.Reason)
	case wire.TaskEventKind_TASK_EVENT_KIND_GIVE_UP:
		tb.end(j, at, wire.TaskState_TASK_STATE_FAILED, e.Reason)
	default:
		return false
	}
	return true
}

func (tb *Table) heldEvent(j *job, at int, e *wire.TaskEvent) bool {
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_RUNNING:
		return tb.running(j, at)
	case wire.TaskEventKind_TASK_EVENT_KIND_CHECKPOINT:
		return tb.checkpoint(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_STOPPING:
		return tb.stopping(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_RESIZE:
		return tb.resize(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_NOT_STARTED:
		return tb.notStarted(j, at)
	}
	return tb.endAttempt(j, at, e)
}

// endAttempt applies the events after which an attempt no longer runs.
func (tb *Table) endAttempt(j *job, at int, e *wire.TaskEvent) bool {
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_DONE:
		next := task.Started(j.tasks[at])
		next.State = wire.TaskState_TASK_STATE_DONE
		next.Reason = ""
		tb.finish(j, at, next)
	case wire.TaskEventKind_TASK_EVENT_KIND_FAILED:
		tb.failed(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_STOPPED:
		tb.stopped(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_WORKER_LOST:
		tb.lost(j, at, e.Reason)
	default:
		return false
	}
	return true
}

func (tb *Table) running(j *job, at int) bool {
	t := j.tasks[at]
	if t.State == wire.TaskState_TASK_STATE_STOPPING && t.Started {
		return false
	}
	if t.State == wire.TaskState_TASK_STATE_RUNNING {
		return false
	}
	next := task.Started(t)
	if t.State == wire.TaskState_TASK_STATE_STARTING {
		next.State = wire.TaskState_TASK_STATE_RUNNING
	}
	tb.replace(j, at, next)
	return true
}

func (tb *Table) checkpoint(j *job, at int, e *wire.TaskEvent) bool {
	next := task.Started(j.tasks[at])
	if !task.Accept(next, e) {
		return false
	}
	if next.State == wire.TaskState_TASK_STATE_STARTING {
		next.State = wire.TaskState_TASK_STATE_RUNNING
	}
	tb.replace(j, at, next)
	return true
}

func (tb *Table) stopping(j *job, at int, e *wire.TaskEvent) bool {
	if j.tasks[at].State == wire.TaskState_TASK_STATE_STOPPING {
		return false
	}
	next := task.Clone(j.tasks[at])
	next.State = wire.TaskState_TASK_STATE_STOPPING
	next.Reason = configuration.Clip(e.Reason, MaxReasonBytes)
	tb.replace(j, at, next)
	return true
}

func (tb *Table) resize(j *job, at int, e *wire.TaskEvent) bool {
	next := task.Clone(j.tasks[at])
	if next.State == wire.TaskState_TASK_STATE_STOPPING {
		return false
	}
	if resource.FromWire(e.Size) == resource.FromWire(next.Committed) {
		return false
	}
	next.Committed = e.Size
	return tb.commit(j, at, next)
}

// notStarted frees an attempt that its worker never received; one that was seen running contradicts it.
func (tb *Table) notStarted(j *job, at int) bool {
	t := j.tasks[at]
	if t.State == wire.TaskState_TASK_STATE_RUNNING {
		return false
	}
	if t.Cancelled {
		tb.end(j, at, task.Cancelled(t), t.Reason)
		return true
	}
	tb.requeue(j, at, task.Clone(t))
	return true
}

func (tb *Table) failed(j *job, at int, e *wire.TaskEvent) {
	next := task.Started(j.tasks[at])
	next.Failures++
	if next.Cancelled {
		next.State = wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
		tb.finish(j, at, next)
		return
	}
	next.Reason = configuration.Clip(e.Reason, MaxReasonBytes)
	if next.Failures < failureLimit(j) {
		tb.requeue(j, at, next)
		return
	}
	next.State = wire.TaskState_TASK_STATE_FAILED
	tb.finish(j, at, next)
}

func failureLimit(j *job) uint32 {
	if j.service {
		return ServiceFailures
	}
	return BatchFailures
}

func (tb *Table) stopped(j *job, at int, e *wire.TaskEvent) {
	next := task.Started(j.tasks[at])
	task.Accept(next, e)
	if next.Cancelled {
		next.State = wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
		tb.finish(j, at, next)
		return
	}
	if next.State == wire.TaskState_TASK_STATE_STOPPING {
		next.Evictions++
		tb.tallies.At(j.Class, tb.now).Evicted++
	}
	tb.requeue(j, at, next)
}

// lost ends an attempt whose worker's lease has surely ended: batch waits again, a service's replica is replaced by a new task.
func (tb *Table) lost(j *job, at int, reason string) {
	next := task.Started(j.tasks[at])
	if next.Cancelled {
		next.State = wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
		tb.finish(j, at, next)
		return
	}
	next.Reason = configuration.Clip(reason, MaxReasonBytes)
	if !j.service {
		tb.requeue(j, at, next)
		return
	}
	tb.addTask(j, j.tasks[len(j.tasks)-1].Index+1)
	next.State = wire.TaskState_TASK_STATE_LOST
	tb.finish(j, at, next)
	j.lost++
	tb.foldLost(j)
}
