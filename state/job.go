package state

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strconv"

	"daisyswitch/answer"
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

// submit takes a job in or refuses it at once; a sequence number of 0 is never remembered.
func (m *Machine) submit(s *wire.SubmitJob) *wire.JobResult {
	return m.remembered(s.Operator, s.Sequence, submitDigest(s), func() *wire.JobResult {
		if err := m.checkJob(s.Job); err != nil {
			return refusedJob("", err.Error())
		}
		return m.takeJob(s.Job)
	})
}

// remembered answers a request on jobs under the same rules as a change, but for the base version.
func (m *Machine) remembered(operator string, sequence uint64, digest []byte, execute func() *wire.JobResult) *wire.JobResult {
	if sequence == 0 {
		return execute()
	}
	if err := checkIdentity(operator, sequence); err != nil {
		return refusedJob("", err.Error())
	}
	finding, first := m.answers.Find(operator, sequence, digest)
	switch finding {
	case answer.Repeat:
		return first.Job
	case answer.Reused:
		reason := fmt.Sprintf("sequence %d of operator %s was used for another request", sequence, operator)
		return &wire.JobResult{Outcome: wire.Outcome_OUTCOME_CONFLICT, Reason: reason, Job: first.Job.GetJob()}
	case answer.TooOld, answer.Crowded:
		return refusedJob("", findingReason(finding))
	}
	result := execute()
	m.answers.Add(&wire.AnswerRecord{Operator: operator, Sequence: sequence, Digest: digest, Job: result})
	return result
}

func (m *Machine) takeJob(spec *wire.Job) *wire.JobResult {
	own := &wire.Job{
		Id: jobID(m.nextJob), Team: spec.Team, Class: spec.Class, Program: spec.Program, Urgent: spec.Urgent,
		Size: spec.Size, Tasks: spec.Tasks, ExpectedMs: spec.ExpectedMs, MinDomains: spec.MinDomains,
	}
	class := configuration.Class(m.configuration.Classes, spec.Class)
	j := &job{Job: own, number: m.nextJob, submitted: m.now, service: class.Kind == wire.ClassKind_CLASS_KIND_SERVICE}
	m.nextJob++
	m.jobs[own.Id] = j
	m.classJobs[own.Class]++
	m.teamJobs[own.Team]++
	for i := range own.Tasks {
		m.addTask(j, i)
	}
	return &wire.JobResult{Outcome: wire.Outcome_OUTCOME_ACCEPTED, Job: own.Id}
}

func (m *Machine) addTask(j *job, index int32) {
	t := &wire.Task{Job: j.Id, Index: index, State: wire.TaskState_TASK_STATE_QUEUED, ChangedMs: m.now}
	j.tasks = append(j.tasks, t)
	j.open++
	m.live++
	m.o.TaskChanged(j.Job, t)
}

// checkJob returns why a job can never run, nil if it may.
func (m *Machine) checkJob(spec *wire.Job) error {
	class := configuration.Class(m.configuration.Classes, spec.GetClass())
	if class == nil {
		return fmt.Errorf("there is no class %q", clip(spec.GetClass(), configuration.MaxNameBytes))
	}
	team := configuration.Team(m.configuration.Teams, spec.Team)
	if team == nil {
		return fmt.Errorf("there is no team %q", clip(spec.Team, configuration.MaxNameBytes))
	}
	if err := checkShape(spec); err != nil {
		return err
	}
	if m.live+int(spec.Tasks) > MaxLiveTasks {
		return fmt.Errorf("%d tasks have not ended; with this job they would pass %d", m.live, MaxLiveTasks)
	}
	if err := checkQuota(spec, class, team); err != nil {
		return err
	}
	return m.checkFits(spec)
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
func (m *Machine) checkFits(spec *wire.Job) error {
	if len(m.workers) == 0 {
		return nil
	}
	size := resource.FromWire(spec.Size)
	domains := map[string]bool{}
	for _, w := range m.workers {
		if size.Fits(w.offered) {
			domains[w.record.Domain] = true
		}
	}
	if len(domains) == 0 {
		return fmt.Errorf("a task of this size fits on none of the %d known workers", len(m.workers))
	}
	if len(domains) < int(spec.MinDomains) {
		return fmt.Errorf("a task of this size fits in %d failure domains, fewer than %d", len(domains), spec.MinDomains)
	}
	return nil
}

// cancel ends a job's queued tasks at once and has the others stopped.
func (m *Machine) cancel(c *wire.CancelJob) *wire.JobResult {
	return m.remembered(c.Operator, c.Sequence, cancelDigest(c), func() *wire.JobResult {
		j := m.jobs[c.Job]
		if j == nil {
			return refusedJob(clip(c.Job, configuration.MaxNameBytes), "there is no such job, or it ended long ago")
		}
		if j.open == 0 {
			return refusedJob(j.Id, "the job has ended")
		}
		j.cancelled = true
		reason := "cancelled by " + clip(c.Operator, configuration.MaxNameBytes)
		for at := range j.tasks {
			m.cancelTask(j, at, reason)
		}
		return &wire.JobResult{Outcome: wire.Outcome_OUTCOME_ACCEPTED, Job: j.Id}
	})
}

func (m *Machine) cancelTask(j *job, at int, reason string) {
	t := j.tasks[at]
	switch {
	case queued(t):
		m.end(j, at, cancelledState(t), reason)
	case held(t):
		next := clone(t)
		next.State = wire.TaskState_TASK_STATE_STOPPING
		next.Cancelled = true
		next.Reason = reason
		m.replace(j, at, next)
	}
}

func refusedJob(id, reason string) *wire.JobResult {
	return &wire.JobResult{Outcome: wire.Outcome_OUTCOME_REFUSED, Reason: clip(reason, MaxReasonBytes), Job: id}
}

func submitDigest(s *wire.SubmitJob) []byte {
	j := s.Job
	sum := sha256.Sum256(fmt.Appendf(nil, "submit %q %q %q %t %v %d %d %d", j.GetTeam(), j.GetClass(), j.GetProgram(),
		j.GetUrgent(), resource.FromWire(j.GetSize()), j.GetTasks(), j.GetExpectedMs(), j.GetMinDomains()))
	return sum[:]
}

func cancelDigest(c *wire.CancelJob) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "cancel %q", c.Job))
	return sum[:]
}
