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

// job is a job with its tasks in order of index; lost replicas may be missing.
type job struct {
	*wire.Job
	number    uint64
	tasks     []*wire.Task
	open      int // tasks not ended
	lost      int // lost replicas still shown
	service   bool
	cancelled bool
	submitted int64 // Unix time, milliseconds
}

// find returns where the task of that index stands, -1 if nowhere.
func (j *job) find(index int32) int {
	at, found := slices.BinarySearchFunc(j.tasks, index, func(t *wire.Task, i int32) int { return cmp.Compare(t.Index, i) })
	if !found {
		return -1
	}
	return at
}

// Submit takes a job in under an id of its own, or refuses it at once with the reason.
func (tb *Table) Submit(spec *wire.Job) *wire.JobResult {
	if err := tb.checkJob(spec); err != nil {
		return Refused("", err.Error())
	}
	return tb.takeJob(spec)
}

func (tb *Table) takeJob(spec *wire.Job) *wire.JobResult {
	own := &wire.Job{
		Id: task.JobID(tb.nextJob), Team: spec.Team, Class: spec.Class, Program: spec.Program, Urgent: spec.Urgent,
		Size: spec.Size, Tasks: spec.Tasks, ExpectedMs: spec.ExpectedMs, MinDomains: spec.MinDomains,
	}
	class := configuration.Class(tb.o.Configuration().Classes, spec.Class)
	j := &job{Job: own, number: tb.nextJob, submitted: tb.now, service: class.Kind == wire.ClassKind_CLASS_KIND_SERVICE}
	tb.nextJob++
	tb.jobs[own.Id] = j
	tb.classJobs[own.Class]++
	tb.teamJobs[own.Team]++
	for i := range own.Tasks {
		tb.addTask(j, i)
	}
	return &wire.JobResult{Outcome: wire.Outcome_OUTCOME_ACCEPTED, Job: own.Id}
}

func (tb *Table) addTask(j *job, index int32) {
	t := &wire.Task{Job: j.Id, Index: index, State: wire.TaskState_TASK_STATE_QUEUED, ChangedMs: tb.now}
	j.tasks = append(j.tasks, t)
	j.open++
	tb.live++
	tb.o.TaskChanged(j.Job, t)
}

// checkJob returns why a job can never run, nil if it may.
func (tb *Table) checkJob(spec *wire.Job) error {
	class := configuration.Class(tb.o.Configuration().Classes, spec.GetClass())
	if class == nil {
		return fmt.Errorf("there is no class %q", configuration.Clip(spec.GetClass(), configuration.MaxNameBytes))
	}
	team := configuration.Team(tb.o.Configuration().Teams, spec.Team)
	if team == nil {
		return fmt.Errorf("there is no team %q", configuration.Clip(spec.Team, configuration.MaxNameBytes))
	}
	if err := admit.Job(spec); err != nil {
		return err
	}
	if tb.live+int(spec.Tasks) > MaxLiveTasks {
		return fmt.Errorf("%d tasks have not ended; with this job they would pass %d", tb.live, MaxLiveTasks)
	}
	if err := admit.Quota(spec, class, team); err != nil {
		return err
	}
	return admit.Fits(spec, tb.offers)
}

// offers tells of the failure domain and the offered size of each worker that is known.
func (tb *Table) offers(yield func(string, resource.Size) bool) {
	for _, w := range tb.workers {
		if !yield(w.record.Domain, w.offered) {
			return
		}
	}
}

// Cancel ends a job's queued tasks at once and has the others stopped.
func (tb *Table) Cancel(id, operator string) *wire.JobResult {
	j := tb.jobs[id]
	if j == nil {
		return Refused(configuration.Clip(id, configuration.MaxNameBytes), "there is no such job, or it ended long ago")
	}
	if j.open == 0 {
		return Refused(j.Id, "the job has ended")
	}
	j.cancelled = true
	reason := "cancelled by " + configuration.Clip(operator, configuration.MaxNameBytes)
	for at := range j.tasks {
		tb.cancelTask(j, at, reason)
	}
	return &wire.JobResult{Outcome: wire.Outcome_OUTCOME_ACCEPTED, Job: j.Id}
}

func (tb *Table) cancelTask(j *job, at int, reason string) {
	t := j.tasks[at]
	switch {
	case task.Queued(t):
		tb.end(j, at, task.Cancelled(t), reason)
	case task.Held(t):
		next := task.Clone(t)
		next.State = wire.TaskState_TASK_STATE_STOPPING
		next.Cancelled = true
		next.Reason = reason
		tb.replace(j, at, next)
	}
}

// Refused returns the answer to a request on jobs that had no effect.
func Refused(id, reason string) *wire.JobResult {
	return &wire.JobResult{Outcome: wire.Outcome_OUTCOME_REFUSED, Reason: configuration.Clip(reason, MaxReasonBytes), Job: id}
}
