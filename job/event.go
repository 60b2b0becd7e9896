package job

import (
	"daisyswitch/configuration"
	"daisyswitch/resource"
	"daisyswitch/task"
	"daisyswitch/wire"
)

// Event applies an event of one attempt and reports whether it changed anything. Events of older attempts are ignored.
func (tb *Table) Event(e *wire.TaskEvent) bool {
	ref := task.FromWire(e.Task)
	j := tb.jobs[ref.Job]
	if j == nil {
		return false
	}
	at := j.position(ref.Index)
	if at < 0 || j.tasks[at].Attempt != ref.Attempt {
		return false
	}
	if task.Queued(j.tasks[at]) {
		return tb.applyQueuedEvent(j, at, e)
	}
	if task.Held(j.tasks[at]) {
		return tb.applyHeldEvent(j, at, e)
	}
	return false
}

// applyQueuedEvent applies an event to a queued task. A done or stopped event can come from an attempt that was considered lost
// and that its worker reported late, before the task was started again.
func (tb *Table) applyQueuedEvent(j *job, at int, e *wire.TaskEvent) bool {
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_DONE:
		if !j.tasks[at].Started {
			return false
		}
		tb.endTask(j, at, wire.TaskState_TASK_STATE_DONE, "")
	case wire.TaskEventKind_TASK_EVENT_KIND_STOPPED:
		next := task.Clone(j.tasks[at])
		if !next.Started || !task.AcceptCheckpoint(next, e) {
			return false
		}
		tb.requeueTask(j, at, next)
	case wire.TaskEventKind_TASK_EVENT_KIND_CANNOT_RUN:
		tb.endTask(j, at, wire.TaskState_TASK_STATE_CANNOT_RUN, e.Reason)
	case wire.TaskEventKind_TASK_EVENT_KIND_GIVE_UP:
		tb.endTask(j, at, wire.TaskState_TASK_STATE_FAILED, e.Reason)
	default:
		return false
	}
	return true
}

func (tb *Table) applyHeldEvent(j *job, at int, e *wire.TaskEvent) bool {
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_RUNNING:
		return tb.applyRunning(j, at)
	case wire.TaskEventKind_TASK_EVENT_KIND_CHECKPOINT:
		return tb.applyCheckpoint(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_STOPPING:
		return tb.applyStopping(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_RESIZE:
		return tb.applyResize(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_NOT_STARTED:
		return tb.applyNotStarted(j, at)
	}
	return tb.applyEndEvent(j, at, e)
}

// applyEndEvent applies an event that ends an attempt.
func (tb *Table) applyEndEvent(j *job, at int, e *wire.TaskEvent) bool {
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_DONE:
		next := task.Started(j.tasks[at])
		next.State = wire.TaskState_TASK_STATE_DONE
		next.Reason = ""
		tb.finishTask(j, at, next)
	case wire.TaskEventKind_TASK_EVENT_KIND_FAILED:
		tb.applyFailed(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_STOPPED:
		tb.applyStopped(j, at, e)
	case wire.TaskEventKind_TASK_EVENT_KIND_WORKER_LOST:
		tb.lost(j, at, e.Reason)
	default:
		return false
	}
	return true
}

func (tb *Table) applyRunning(j *job, at int) bool {
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
	tb.replaceTask(j, at, next)
	return true
}

func (tb *Table) applyCheckpoint(j *job, at int, e *wire.TaskEvent) bool {
	next := task.Started(j.tasks[at])
	if !task.AcceptCheckpoint(next, e) {
		return false
	}
	if next.State == wire.TaskState_TASK_STATE_STARTING {
		next.State = wire.TaskState_TASK_STATE_RUNNING
	}
	tb.replaceTask(j, at, next)
	return true
}

func (tb *Table) applyStopping(j *job, at int, e *wire.TaskEvent) bool {
	if j.tasks[at].State == wire.TaskState_TASK_STATE_STOPPING {
		return false
	}
	next := task.Clone(j.tasks[at])
	next.State = wire.TaskState_TASK_STATE_STOPPING
	next.Reason = configuration.Truncate(e.Reason, MaxReasonBytes)
	tb.replaceTask(j, at, next)
	return true
}

func (tb *Table) applyResize(j *job, at int, e *wire.TaskEvent) bool {
	next := task.Clone(j.tasks[at])
	if next.State == wire.TaskState_TASK_STATE_STOPPING {
		return false
	}
	if resource.FromWire(e.Size) == resource.FromWire(next.Committed) {
		return false
	}
	next.Committed = e.Size
	return tb.commitTask(j, at, next)
}

// applyNotStarted releases an attempt that its worker never received. The event is ignored if the attempt was reported running.
func (tb *Table) applyNotStarted(j *job, at int) bool {
	t := j.tasks[at]
	if t.State == wire.TaskState_TASK_STATE_RUNNING {
		return false
	}
	if t.Cancelled {
		tb.endTask(j, at, task.Cancelled(t), t.Reason)
		return true
	}
	tb.requeueTask(j, at, task.Clone(t))
	return true
}

func (tb *Table) applyFailed(j *job, at int, e *wire.TaskEvent) {
	next := task.Started(j.tasks[at])
	next.Failures++
	if next.Cancelled {
		next.State = wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
		tb.finishTask(j, at, next)
		return
	}
	next.Reason = configuration.Truncate(e.Reason, MaxReasonBytes)
	if next.Failures < failureLimit(j) {
		tb.requeueTask(j, at, next)
		return
	}
	next.State = wire.TaskState_TASK_STATE_FAILED
	tb.finishTask(j, at, next)
}

func failureLimit(j *job) uint32 {
	if j.service {
		return ServiceFailures
	}
	return BatchFailures
}

func (tb *Table) applyStopped(j *job, at int, e *wire.TaskEvent) {
	next := task.Started(j.tasks[at])
	task.AcceptCheckpoint(next, e)
	if next.Cancelled {
		next.State = wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
		tb.finishTask(j, at, next)
		return
	}
	if next.State == wire.TaskState_TASK_STATE_STOPPING {
		next.Evictions++
		tb.tallies.ClassCounts(j.Class, tb.commandTime).Evicted++
	}
	tb.requeueTask(j, at, next)
}

// lost ends an attempt on a worker whose lease is known to have expired or that restarted. A batch task is queued again.
// A lost replica of a service is replaced by a new task.
func (tb *Table) lost(j *job, at int, reason string) {
	next := task.Started(j.tasks[at])
	if next.Cancelled {
		next.State = wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
		tb.finishTask(j, at, next)
		return
	}
	next.Reason = configuration.Truncate(reason, MaxReasonBytes)
	if !j.service {
		tb.requeueTask(j, at, next)
		return
	}
	tb.addTask(j, j.tasks[len(j.tasks)-1].Index+1)
	next.State = wire.TaskState_TASK_STATE_LOST
	tb.finishTask(j, at, next)
	j.lost++
	tb.pruneLostReplicas(j)
}
