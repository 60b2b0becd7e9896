package fleet

import (
	"time"

	"daisyswitch/blame"
	"daisyswitch/interference"
	"daisyswitch/resource"
	"daisyswitch/sizing"
	"daisyswitch/wire"
)

// Job is a job with its tasks that have not ended.
type Job struct {
	ID         string
	Urgent     bool
	MinDomains int
	Size       resource.Size // declared size of each task
	Class      *Class
	Team       *Team
	Program    interference.Program
	Tasks      map[int32]*Task
	Lane       *Lane

	Forecast *sizing.Forecast // size forecast of its program
	Sample   sizing.Sample    // peaks of its tasks that were measured for long enough
	Sampled  int              // number of tasks in Sample
	Memory   int64            // minimum initial memory in MiB after a task ran out of memory
	Blame    blame.Job
	GivenUp  bool

	queue      taskList
	queued     bool // whether it is in its lane
	prev, next *Job
}

// Decision is a decision on a task that no transition of the replicated state has resolved yet.
type Decision int8

// Decisions on a task.
const (
	Undecided Decision = iota
	DecidedStart
	DecidedEnd // CANNOT_RUN or GIVE_UP
	DecidedStop
	DecidedResize
)

// Task is a task that waits or holds capacity.
type Task struct {
	Job       *Job
	Index     int32
	Attempt   uint32
	Failures  uint32
	State     wire.TaskState
	Worker    *Worker // the worker that it is committed to or proposed for
	Committed resource.Size
	FailedOn  *Worker // worker of its last failure
	Reserved  *Worker // worker that holds a reservation for it

	Decision     Decision
	Decided      time.Time
	PreviousSize resource.Size // committed size before a pending resize

	Used            resource.Size // last measured usage
	Peak            sizing.Peak
	RecentPeak      sizing.Peak // services: highest recent load
	Measured        time.Time   // time of the first measurement of this attempt
	ResizeQueued    bool        // whether it is in the list of tasks to resize
	Sampled         bool        // whether its peak is in its job's sample
	Credited        bool        // whether this attempt has run long enough to count as a success of its worker
	ReportsLatency  bool        // whether its worker reports its tail latency
	LogLatencyRatio float64     // services: smoothed logarithm of the ratio of tail latency to target
	Throttle        int32       // share of its processors taken away, in percent

	quotaCharge resource.Size // size counted towards its team's quota
	slot        int32         // index in its worker's Tasks
	prev, next  *Task
}

// Waiting reports whether a task in this state waits for a start.
func Waiting(s wire.TaskState) bool {
	return s == wire.TaskState_TASK_STATE_QUEUED || s == wire.TaskState_TASK_STATE_CHECKPOINTED
}

// Holding reports whether a task in this state holds capacity on its worker.
func Holding(s wire.TaskState) bool {
	switch s {
	case wire.TaskState_TASK_STATE_STARTING, wire.TaskState_TASK_STATE_RUNNING, wire.TaskState_TASK_STATE_STOPPING:
		return true
	}
	return false
}

// Find returns a task, or nil if it is not known or has ended.
func (f *Fleet) Find(job string, index int32) *Task {
	j := f.Jobs[job]
	if j == nil {
		return nil
	}
	return j.Tasks[index]
}

// Add returns a task, and creates it and its job if necessary.
func (f *Fleet) Add(j *wire.Job, index int32) *Task {
	known := f.Jobs[j.GetId()]
	if known == nil {
		known = f.addJob(j)
	}
	t := known.Tasks[index]
	if t == nil {
		t = &Task{Job: known, Index: index}
		known.Tasks[index] = t
	}
	return t
}

func (f *Fleet) addJob(j *wire.Job) *Job {
	known := &Job{
		ID:         j.GetId(),
		Urgent:     j.GetUrgent(),
		MinDomains: int(j.GetMinDomains()),
		Size:       resource.FromWire(j.GetSize()),
		Class:      f.class(j.GetClass()),
		Team:       f.team(j.GetTeam()),
		Program:    f.Table.Number(j.GetProgram()),
		Forecast:   f.program(j.GetProgram()),
		Tasks:      make(map[int32]*Task),
	}
	known.Lane = f.lane(known)
	f.Jobs[known.ID] = known
	return known
}

// Drop removes a task that has ended, and its job once no tasks are left.
func (f *Fleet) Drop(t *Task) {
	delete(t.Job.Tasks, t.Index)
	if len(t.Job.Tasks) == 0 {
		delete(f.Jobs, t.Job.ID)
	}
}

// charge sets the size that a task counts towards its team's quota.
func (t *Task) charge(size resource.Size) {
	t.Job.Team.Used = t.Job.Team.Used.Sub(t.quotaCharge).Add(size)
	t.quotaCharge = size
}

// Evictable reports whether a task is a batch task that is starting or running and has no pending decision.
func (t *Task) Evictable() bool {
	return !t.Job.Class.Service() && t.Decision == Undecided &&
		(t.State == wire.TaskState_TASK_STATE_RUNNING || t.State == wire.TaskState_TASK_STATE_STARTING)
}

// Stopping reports whether a task is stopping or a decision to stop it is pending.
func (t *Task) Stopping() bool {
	return t.State == wire.TaskState_TASK_STATE_STOPPING || t.Decision == DecidedStop
}

// ForgetMeasurements resets the measurements of an attempt that has ended.
func (t *Task) ForgetMeasurements() {
	t.Used, t.Peak, t.RecentPeak, t.Measured = resource.Size{}, sizing.Peak{}, sizing.Peak{}, time.Time{}
	t.LogLatencyRatio, t.Sampled, t.Credited = 0, false, false
}
