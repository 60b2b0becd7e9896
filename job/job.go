package job

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"daisyswitch/configuration"
	"daisyswitch/resource"
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

func jobID(number uint64) string { return fmt.Sprintf("j%d", number) }

func jobNumber(id string) (uint64, error) {
	if len(id) < 2 || id[0] != 'j' {
		return 0, fmt.Errorf("job id %q", id)
	}
	n, err := strconv.ParseUint(id[1:], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("job id %q: %w", id, err)
	}
	return n, nil
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
		Id: jobID(tb.nextJob), Team: spec.Team, Class: spec.Class, Program: spec.Program, Urgent: spec.Urgent,
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
	if err := checkShape(spec); err != nil {
		return err
	}
	if tb.live+int(spec.Tasks) > MaxLiveTasks {
		return fmt.Errorf("%d tasks have not ended; with this job they would pass %d", tb.live, MaxLiveTasks)
	}
	if err := checkQuota(spec, class, team); err != nil {
		return err
	}
	return tb.checkFits(spec)
}

func checkShape(spec *wire.Job) error {
	if err := configuration.CheckName(spec.Program); err != nil {
		return fmt.Errorf("program: %w", err)
	}
	if !resource.FromWire(spec.Size).Valid() {
		return fmt.Errorf("the size is empty or below zero")
	}
	if spec.Tasks < 1 || spec.Tasks > MaxJobTasks {
		return fmt.Errorf("a job has 1 to %d tasks, not %d", MaxJobTasks, spec.Tasks)
	}
	if spec.ExpectedMs < 0 {
		return fmt.Errorf("expected_ms is below zero")
	}
	if spec.MinDomains < 0 || spec.MinDomains > spec.Tasks {
		return fmt.Errorf("min_domains lies between 0 and the number of tasks")
	}
	return nil
}

// checkQuota refuses what the team's quota can never hold: one task of a batch job, all replicas of a service.
func checkQuota(spec *wire.Job, class *wire.Class, team *wire.Team) error {
	size := resource.FromWire(spec.Size)
	quota := resource.FromWire(team.Quota)
	if !size.Fits(quota) {
		return fmt.Errorf("one task alone exceeds the quota of team %s", team.Name)
	}
	if class.Kind != wire.ClassKind_CLASS_KIND_SERVICE {
		return nil
	}
	if !fitsTimes(size, quota, int64(spec.Tasks)) {
		return fmt.Errorf("%d replicas exceed the quota of team %s", spec.Tasks, team.Name)
	}
	return nil
}

// fitsTimes reports whether n of size fit into room, without a product that could overflow.
func fitsTimes(size, room resource.Size, n int64) bool {
	share := resource.Size{MilliCPU: room.MilliCPU / n, MemoryMiB: room.MemoryMiB / n, Accelerators: room.Accelerators / n}
	return size.Fits(share)
}

// checkFits refuses a size that no worker which was ever seen can hold; without any worker there is nothing to say.
func (tb *Table) checkFits(spec *wire.Job) error {
	if len(tb.workers) == 0 {
		return nil
	}
	size := resource.FromWire(spec.Size)
	domains := map[string]bool{}
	for _, w := range tb.workers {
		if size.Fits(w.offered) {
			domains[w.record.Domain] = true
		}
	}
	if len(domains) == 0 {
		return fmt.Errorf("a task of this size fits on none of the %d known workers", len(tb.workers))
	}
	if len(domains) < int(spec.MinDomains) {
		return fmt.Errorf("a task of this size fits in %d failure domains, fewer than %d", len(domains), spec.MinDomains)
	}
	return nil
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
	case queued(t):
		tb.end(j, at, cancelledState(t), reason)
	case held(t):
		next := clone(t)
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
