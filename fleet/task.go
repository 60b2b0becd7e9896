package fleet

import (
	"time"

	"daisyswitch/blame"
	"daisyswitch/interference"
	"daisyswitch/resource"
	"daisyswitch/sizing"
	"daisyswitch/wire"
)

// Job is a job with those of its tasks that have not ended.
type Job struct {
	ID         string
	Urgent     bool
	MinDomains int
	Size       resource.Size // declared
	Class      *Class
	Team       *Team
	Program    interference.Program
	Tasks      map[int32]*Task
	Lane       *Lane

	Forecast *sizing.Forecast // of its program
	Sample   sizing.Sample    // of its tasks that were measured for long enough
	Sampled  int              // how many these are
	Memory   int64            // least to start with, since less was not enough, MiB
	Blame    blame.Job
	GivenUp  bool

	queue      taskList
	queued     bool // in its lane
	prev, next *Job
}

// Decision is what was decided about a task and is not yet answered by the state.
type Decision int8

// The decisions.
const (
	Undecided Decision = iota
	DecidedStart
	DecidedEnd // CANNOT_RUN or GIVE_UP
	DecidedStop
	DecidedResize
)

// Task is a task that waits or holds room.
type Task struct {
	Job       *Job
	Index     int32
	Attempt   uint32
	Failures  uint32
	State     wire.TaskState
	Worker    *Worker // where it is committed or proposed
	Committed resource.Size
	FailedOn  *Worker // last failure
	Reserved  *Worker // that room is being made on

	Decision Decision
	Decided  time.Time
	Before   resource.Size // committed before a decided growth

	Used     resource.Size // last measurement
	Peak     sizing.Peak
	Load     sizing.Peak // services: of late
	Measured time.Time   // first measurement of this attempt
	Sized    bool        // on the list of tasks to be resized
	Sampled  bool        // it is in its job's sample
	Credited bool        // this attempt has run long enough to speak for its worker
	Latency  bool        // its worker reports its tail latency
	Ratio    float64     // services: smoothed logarithm of tail latency over target
	Throttle int32       // percent

	charged    resource.Size // in its team's quota
	slot       int32         // position among its worker's tasks
	prev, next *Task
}

// Waiting reports whether a task of this state is to be started.
func Waiting(s wire.TaskState) bool {
	return s == wire.TaskState_TASK_STATE_QUEUED || s == wire.TaskState_TASK_STATE_CHECKPOINTED
}

// Holding reports whether a task of this state holds room on its worker.
func Holding(s wire.TaskState) bool {
	switch s {
	case wire.TaskState_TASK_STATE_STARTING, wire.TaskState_TASK_STATE_RUNNING, wire.TaskState_TASK_STATE_STOPPING:
		return true
	}
	return false
}

// Find returns a task, nil if it is not known or has ended.
func (f *Fleet) Find(job string, index int32) *Task {
	j := f.Jobs[job]
	if j == nil {
		return nil
	}
	return j.Tasks[index]
}

// Add returns a task, and makes it known if it was not.
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

// Drop forgets a task that has ended, and its job with the last of them.
func (f *Fleet) Drop(t *Task) {
	delete(t.Job.Tasks, t.Index)
	if len(t.Job.Tasks) == 0 {
		delete(f.Jobs, t.Job.ID)
	}
}

// charge replaces what a task counts for in its team's quota.
func (t *Task) charge(size resource.Size) {
	t.Job.Team.Used = t.Job.Team.Used.Sub(t.charged).Add(size)
	t.charged = size
}

// Evictable reports whether a task is batch that runs and about which nothing is decided.
func (t *Task) Evictable() bool {
	return !t.Job.Class.Service() && t.Decision == Undecided &&
		(t.State == wire.TaskState_TASK_STATE_RUNNING || t.State == wire.TaskState_TASK_STATE_STARTING)
}

// Stopping reports whether a task has been or is being told to stop.
func (t *Task) Stopping() bool {
	return t.State == wire.TaskState_TASK_STATE_STOPPING || t.Decision == DecidedStop
}

// ForgetMeasurements drops what was measured of an attempt that has ended.
func (t *Task) ForgetMeasurements() {
	t.Used, t.Peak, t.Load, t.Measured = resource.Size{}, sizing.Peak{}, sizing.Peak{}, time.Time{}
	t.Ratio, t.Sampled, t.Credited = 0, false, false
}
