package job

import (
	"cmp"
	"fmt"
	"slices"

	"daisyswitch/admit"
	"daisyswitch/configuration"
	"daisyswitch/resource"
	"daisyswitch/task"
	"daisyswitch/wire"
)

// job is a job with its tasks in order of index. Indexes can be missing, since old lost replicas are dropped.
type job struct {
	*wire.Job
	number     uint64
	tasks      []*wire.Task
	unfinished int // tasks that have not ended
	lost       int // lost replicas still kept in tasks
	service    bool
	cancelled  bool
	submitted  int64 // Unix time, milliseconds
}

// position returns the position in tasks of the task with that index, -1 if there is none.
func (j *job) position(index int32) int {
	at, found := slices.BinarySearchFunc(j.tasks, index, func(t *wire.Task, i int32) int { return cmp.Compare(t.Index, i) })
	if !found {
		return -1
	}
	return at
}

// Submit accepts a job under a new ID, or refuses it with a reason.
func (tb *Table) Submit(spec *wire.Job) *wire.JobResult {
	if err := tb.checkJob(spec); err != nil {
		return Refused("", err.Error())
	}
	return tb.addJob(spec)
}

func (tb *Table) addJob(spec *wire.Job) *wire.JobResult {
	accepted := &wire.Job{
		Id: task.JobID(tb.nextJob), Team: spec.Team, Class: spec.Class, Program: spec.Program, Urgent: spec.Urgent,
		Size: spec.Size, Tasks: spec.Tasks, ExpectedMs: spec.ExpectedMs, MinDomains: spec.MinDomains,
	}
	class := configuration.Class(tb.options.Configuration().Classes, spec.Class)
	j := &job{Job: accepted, number: tb.nextJob, submitted: tb.commandTime, service: class.Kind == wire.ClassKind_CLASS_KIND_SERVICE}
	tb.nextJob++
	tb.jobs[accepted.Id] = j
	tb.classJobs[accepted.Class]++
	tb.teamJobs[accepted.Team]++
	for i := range accepted.Tasks {
		tb.addTask(j, i)
	}
	return &wire.JobResult{Outcome: wire.Outcome_OUTCOME_ACCEPTED, Job: accepted.Id}
}

func (tb *Table) addTask(j *job, index int32) {
	t := &wire.Task{Job: j.Id, Index: index, State: wire.TaskState_TASK_STATE_QUEUED, ChangedMs: tb.commandTime}
	j.tasks = append(j.tasks, t)
	j.unfinished++
	tb.unfinishedTasks++
	tb.options.TaskChanged(j.Job, t)
}

// checkJob returns why a job is refused, nil if it is accepted.
func (tb *Table) checkJob(spec *wire.Job) error {
	class := configuration.Class(tb.options.Configuration().Classes, spec.GetClass())
	if class == nil {
		return fmt.Errorf("there is no class %q", configuration.Truncate(spec.GetClass(), configuration.MaxNameBytes))
	}
	team := configuration.Team(tb.options.Configuration().Teams, spec.Team)
	if team == nil {
		return fmt.Errorf("there is no team %q", configuration.Truncate(spec.Team, configuration.MaxNameBytes))
	}
	if err := admit.Job(spec); err != nil {
		return err
	}
	if tb.unfinishedTasks+int(spec.Tasks) > MaxLiveTasks {
		return fmt.Errorf("%d tasks have not ended; with this job they would pass %d", tb.unfinishedTasks, MaxLiveTasks)
	}
	if err := admit.Quota(spec, class, team); err != nil {
		return err
	}
	return admit.Fits(spec, tb.workerOffers)
}

// workerOffers yields the failure domain and the offered capacity of each known worker.
func (tb *Table) workerOffers(yield func(string, resource.Size) bool) {
	for _, w := range tb.workers {
		if !yield(w.record.Domain, w.offered) {
			return
		}
	}
}

// Cancel ends a job's queued tasks immediately and marks its other tasks to be stopped.
func (tb *Table) Cancel(id, operator string) *wire.JobResult {
	j := tb.jobs[id]
	if j == nil {
		return Refused(configuration.Truncate(id, configuration.MaxNameBytes), "there is no such job, or it ended long ago")
	}
	if j.unfinished == 0 {
		return Refused(j.Id, "the job has ended")
	}
	j.cancelled = true
	reason := "cancelled by " + configuration.Truncate(operator, configuration.MaxNameBytes)
	for at := range j.tasks {
		tb.cancelTask(j, at, reason)
	}
	return &wire.JobResult{Outcome: wire.Outcome_OUTCOME_ACCEPTED, Job: j.Id}
}

func (tb *Table) cancelTask(j *job, at int, reason string) {
	t := j.tasks[at]
	switch {
	case task.Queued(t):
		tb.endTask(j, at, task.Cancelled(t), reason)
	case task.Held(t):
		next := task.Clone(t)
		next.State = wire.TaskState_TASK_STATE_STOPPING
		next.Cancelled = true
		next.Reason = reason
		tb.replaceTask(j, at, next)
	}
}

// Refused returns the result of a refused request on jobs.
func Refused(id, reason string) *wire.JobResult {
	return &wire.JobResult{Outcome: wire.Outcome_OUTCOME_REFUSED, Reason: configuration.Truncate(reason, MaxReasonBytes), Job: id}
}
