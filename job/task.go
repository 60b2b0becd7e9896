package job

import (
	"daisyswitch/configuration"
	"daisyswitch/resource"
	"daisyswitch/task"
	"daisyswitch/wire"
)

// Start commits a queued task to a worker under its next attempt number.
func (tb *Table) Start(s *wire.Start) bool {
	j := tb.jobs[s.Job]
	if j == nil {
		return false
	}
	at := j.position(s.Index)
	if at < 0 || !task.Queued(j.tasks[at]) || s.Attempt != j.tasks[at].Attempt+1 {
		return false
	}
	w := tb.workers[s.Worker]
	if w == nil || w.record.Gone || tb.isDomainOut(w.record.Domain) {
		return false
	}
	next := task.Clone(j.tasks[at])
	next.State = wire.TaskState_TASK_STATE_STARTING
	next.Attempt = s.Attempt
	next.Worker = s.Worker
	next.Committed = s.Size
	next.Reason = ""
	return tb.commitTask(j, at, next)
}

// commitTask replaces a task by next if its worker has enough free capacity. No other function commits resources.
func (tb *Table) commitTask(j *job, at int, next *wire.Task) bool {
	size := resource.FromWire(next.Committed)
	if !size.Valid() {
		return false
	}
	w := tb.workers[next.Worker]
	room := w.capacity.Sub(w.committed).Add(resource.FromWire(j.tasks[at].Committed))
	if !size.Fits(room) {
		return false
	}
	tb.replaceTask(j, at, next)
	return true
}

// replaceTask replaces a task by next, updates what is committed to its workers and calls TaskChanged.
func (tb *Table) replaceTask(j *job, at int, next *wire.Task) {
	old := j.tasks[at]
	next.ChangedMs = tb.commandTime
	j.tasks[at] = next
	if task.Held(old) {
		tb.workers[old.Worker].release(j, old)
	}
	if task.Held(next) {
		tb.workers[next.Worker].hold(j, next)
	}
	tb.options.TaskChanged(j.Job, next)
	if task.Held(old) {
		w := tb.workers[old.Worker]
		tb.updateCapacity(w, w.record)
	}
}

// requeueTask queues a task again, to resume from its last accepted checkpoint if it has one.
func (tb *Table) requeueTask(j *job, at int, next *wire.Task) {
	next.State = wire.TaskState_TASK_STATE_QUEUED
	if next.Checkpoint > 0 {
		next.State = wire.TaskState_TASK_STATE_CHECKPOINTED
	}
	next.Worker = ""
	next.Committed = nil
	tb.replaceTask(j, at, next)
}

// endTask ends a task with the given state and reason.
func (tb *Table) endTask(j *job, at int, s wire.TaskState, reason string) {
	next := task.Clone(j.tasks[at])
	next.State = s
	next.Reason = configuration.Truncate(reason, MaxReasonBytes)
	tb.finishTask(j, at, next)
}

// finishTask replaces a task by next, which has ended, and counts it.
func (tb *Table) finishTask(j *job, at int, next *wire.Task) {
	next.Worker = ""
	next.Committed = nil
	next.CheckpointData = nil
	tb.replaceTask(j, at, next)
	tb.unfinishedTasks--
	j.unfinished--
	tb.tallies.Count(j.Class, tb.commandTime, next.State)
	if j.unfinished == 0 {
		tb.endJob(j)
	}
}

func (tb *Table) endJob(j *job) {
	tb.endedJobs = append(tb.endedJobs, j)
	tb.endedTasks += len(j.tasks)
	tb.classJobs[j.Class]--
	tb.teamJobs[j.Team]--
}

func (tb *Table) isDomainOut(domain string) bool {
	return configuration.Domain(tb.options.Configuration().Domains, domain).GetOut()
}
