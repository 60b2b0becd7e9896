package task

import "daisyswitch/wire"

// MaxCheckpointBytes is the largest accepted size of a checkpoint's data.
const MaxCheckpointBytes = 16 << 10

// Ref identifies one attempt of a task.
type Ref struct {
	Job     string
	Index   int32
	Attempt uint32
}

// RefOf returns the reference to a task's current attempt.
func RefOf(t *wire.Task) Ref { return Ref{t.Job, t.Index, t.Attempt} }

// FromWire converts a reference from its wire message.
func FromWire(r *wire.TaskRef) Ref { return Ref{r.GetJob(), r.GetIndex(), r.GetAttempt()} }

// Wire returns the reference as a wire message.
func (r Ref) Wire() *wire.TaskRef {
	return &wire.TaskRef{Job: r.Job, Index: r.Index, Attempt: r.Attempt}
}

// Queued reports whether a task waits for a worker.
func Queued(t *wire.Task) bool {
	return t.State == wire.TaskState_TASK_STATE_QUEUED || t.State == wire.TaskState_TASK_STATE_CHECKPOINTED
}

// Held reports whether a task is committed to a worker.
func Held(t *wire.Task) bool {
	switch t.State {
	case wire.TaskState_TASK_STATE_STARTING, wire.TaskState_TASK_STATE_RUNNING, wire.TaskState_TASK_STATE_STOPPING:
		return true
	}
	return false
}

// Clone returns a copy that the caller may modify and publish instead of t, which readers may still hold.
func Clone(t *wire.Task) *wire.Task {
	return &wire.Task{
		Job: t.Job, Index: t.Index, State: t.State, Attempt: t.Attempt, Worker: t.Worker, Committed: t.Committed,
		Checkpoint: t.Checkpoint, CheckpointData: t.CheckpointData, Failures: t.Failures, Reason: t.Reason,
		ChangedMs: t.ChangedMs, Evictions: t.Evictions, Cancelled: t.Cancelled, Started: t.Started,
	}
}

// Started returns a copy of t marked as started: an attempt has run or may have run.
func Started(t *wire.Task) *wire.Task {
	next := Clone(t)
	next.Started = true
	return next
}

// AcceptCheckpoint stores the event's checkpoint in t if it is newer than the last accepted one and not too large, and reports whether it did.
func AcceptCheckpoint(t *wire.Task, e *wire.TaskEvent) bool {
	if e.Checkpoint <= t.Checkpoint || len(e.CheckpointData) > MaxCheckpointBytes {
		return false
	}
	t.Checkpoint = e.Checkpoint
	t.CheckpointData = e.CheckpointData
	return true
}

// Cancelled returns the final state of a cancelled task, which depends on whether an attempt was started.
func Cancelled(t *wire.Task) wire.TaskState {
	if t.Started {
		return wire.TaskState_TASK_STATE_CANCELLED_AFTER_START
	}
	return wire.TaskState_TASK_STATE_CANCELLED_NOT_RUN
}
