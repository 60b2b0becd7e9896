package job

import (
	"daisyswitch/configuration"
	"daisyswitch/resource"
	"daisyswitch/task"
	"daisyswitch/wire"
)

// Start commits a queued task to a worker under the next attempt.
func (tb *Table) Start(s *wire.Start) bool {
	j := tb.jobs[s.Job]
	if j == nil {
		return false
	}
	at := j.find(s.Index)
	if at < 0 || !task.Queued(j.tasks[at]) || s.Attempt != j.tasks[at].Attempt+1 {
		return false
	}
	w := tb.workers[s.Worker]
	if w == nil || w.record.Gone || tb.out(w.record.Domain) {
		return false
	}
	next := task.Clone(j.tasks[at])
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
	if task.Held(old) {
		tb.workers[old.Worker].drop(j, old)
	}
	if task.Held(next) {
		tb.workers[next.Worker].hold(j, next)
	}
	tb.o.TaskChanged(j.Job, next)
	if task.Held(old) {
		w := tb.workers[old.Worker]
		tb.settle(w, w.record)
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
	next := task.Clone(j.tasks[at])
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
	tb.tallies.Count(j.Class, tb.now, next.State)
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

func (tb *Table) out(domain string) bool {
	return configuration.Domain(tb.o.Configuration().Domains, domain).GetOut()
}
