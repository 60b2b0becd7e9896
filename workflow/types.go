package workflow

import (
	"fmt"
	"slices"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Job states as reported to callers.
const (
	StateQueued    = "queued"
	StateRunning   = "running"
	StateCompleted = "completed"
	StateFailed    = "failed"
	StateCancelled = "cancelled"
)

// Name identifies a task and can be used as a map key.
type Name struct {
	Workflow   string
	Occurrence int32
	Step       int32
	Index      int32
}

// NameOf converts a task's name from its wire form.
func NameOf(n *wire.TaskName) Name {
	return Name{Workflow: n.GetWorkflow(), Occurrence: n.GetOccurrence(), Step: n.GetStep(), Index: n.GetIndex()}
}

// Wire returns the name in its wire form.
func (n Name) Wire() *wire.TaskName {
	return &wire.TaskName{Workflow: n.Workflow, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index}
}

// String formats the name for logs.
func (n Name) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Workflow, n.Occurrence, n.Step, n.Index)
}

// Job is an accepted workflow.
type Job struct {
	Spec            *wire.Workflow
	Queue           *wire.Queue // from the newest configuration that defines it; its place is the one at which the job was accepted
	AcceptedMS      int64       // leader's wall clock, Unix milliseconds
	EndedMS         int64       // 0 while the job is open
	Cancelled       bool
	Failed          bool
	Begun           bool // a run of the job is known to have begun
	Steps           []*Step
	unfinishedSteps int       // steps that are not done
	successors      [][]int32 // by step number: the steps that come after it, in every occurrence
	cost            int64     // bytes of memory, estimated
}

// Open reports whether tasks of the job may still start.
func (j *Job) Open() bool {
	return !j.Cancelled && !j.Failed && j.unfinishedSteps > 0
}

// State returns the job's state as reported to callers.
func (j *Job) State() string {
	switch {
	case j.Cancelled:
		return StateCancelled
	case j.Failed:
		return StateFailed
	case j.unfinishedSteps == 0:
		return StateCompleted
	case j.Begun:
		return StateRunning
	default:
		return StateQueued
	}
}

// Step is one step of one occurrence of a job.
type Step struct {
	Job             *Job
	Spec            *wire.Step
	Occurrence      int32
	Number          int32
	DueMS           int64 // earliest start of its tasks, Unix milliseconds; 0 for immediately
	Tasks           []*Task
	Waiting         int // tasks that may start, regardless of DueMS
	unfinishedTasks int
	attempts            // of a gang
	pending         int // predecessors with unfinished tasks
}

// attempts counts the failed runs of a task or a gang. Each run counts once, since its end may be reported again by another leader, by a second hold, or after its worker's record is gone.
type attempts struct {
	Failures   int32
	failedRuns []int32
}

func (a *attempts) recordFailure(run int32) {
	if slices.Contains(a.failedRuns, run) {
		return
	}
	a.Failures++
	a.failedRuns = append(a.failedRuns, run)
}

// Ready reports whether all preceding steps are done.
func (s *Step) Ready() bool { return s.pending == 0 }

// Task is one task of a step.
type Task struct {
	Step  *Step
	Index int32
	Run   int32 // highest run number used
	attempts
	Done       bool
	Worker     *Worker // to which it is committed, nil if none
	Born       int64   // of the incarnation for which the run was committed; the worker may have restarted since
	Checkpoint string
	Ticket     string
	LateStart  bool // a start was not answered and may have been executed late
}

// Name returns the task's name.
func (t *Task) Name() Name {
	return Name{Workflow: t.Step.Job.Spec.GetId(), Occurrence: t.Step.Occurrence, Step: t.Step.Number, Index: t.Index}
}

// Startable reports whether the task may be started.
func (t *Task) Startable() bool {
	return !t.Done && t.Worker == nil && t.Step.Ready() && t.Step.Job.Open()
}

// Inherited reports whether the run was committed for an earlier incarnation of its worker, so that the present one may or may not execute it.
func (t *Task) Inherited() bool {
	return t.Worker != nil && t.Worker.GetBorn() != t.Born
}

// Worker is one incarnation of a called worker.
type Worker struct {
	*wire.CalledWorker
	Noted         int64         // number of the last run end that was recorded
	LateEnds      []int64       // numbers of recorded ends that may not be acknowledged while a start of their task may be executed late
	Used          resource.Size // by tasks other than filling tasks
	Lasting       resource.Size // the part of Used that is used by lasting tasks
	UsedByFilling resource.Size // by filling tasks; their memory and accelerators reduce Free, their CPU does not
	Tasks         map[*Task]struct{}
	Capacity      resource.Size
}

// Free returns the worker's free capacity for tasks other than filling tasks.
func (w *Worker) Free() resource.Size {
	free := w.Capacity.Sub(w.Used)
	free.MemoryMiB -= w.UsedByFilling.MemoryMiB
	free.Accelerators -= w.UsedByFilling.Accelerators
	return free
}

// Fits reports whether a task of a step fits in the worker's free capacity.
func (w *Worker) Fits(s *wire.Step) bool {
	size := resource.FromWire(s.GetSize())
	if s.GetFilling() {
		size.MilliCPU = min(0, w.Free().MilliCPU)
	}
	return size.Fits(w.Free())
}

func (w *Worker) addTask(t *Task) {
	w.Tasks[t] = struct{}{}
	size := resource.FromWire(t.Step.Spec.GetSize())
	if t.Step.Spec.GetFilling() {
		w.UsedByFilling = w.UsedByFilling.Add(size)
		return
	}
	w.Used = w.Used.Add(size)
	if t.Step.Spec.GetLasting() {
		w.Lasting = w.Lasting.Add(size)
	}
}

func (w *Worker) removeTask(t *Task) {
	delete(w.Tasks, t)
	size := resource.FromWire(t.Step.Spec.GetSize())
	if t.Step.Spec.GetFilling() {
		w.UsedByFilling = w.UsedByFilling.Sub(size)
		return
	}
	w.Used = w.Used.Sub(size)
	if t.Step.Spec.GetLasting() {
		w.Lasting = w.Lasting.Sub(size)
	}
}
