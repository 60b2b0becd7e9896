package workflow

import (
	"fmt"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

// The states of a job, as callers read them.
const (
	StateQueued    = "queued"
	StateRunning   = "running"
	StateCompleted = "completed"
	StateFailed    = "failed"
	StateCancelled = "cancelled"
)

// Name identifies a task; it can be a key.
type Name struct {
	Workflow   string
	Occurrence int32
	Step       int32
	Index      int32
}

// NameOf returns the key of a task's name.
func NameOf(n *wire.TaskName) Name {
	return Name{Workflow: n.GetWorkflow(), Occurrence: n.GetOccurrence(), Step: n.GetStep(), Index: n.GetIndex()}
}

// Wire returns the name as it stands in records.
func (n Name) Wire() *wire.TaskName {
	return &wire.TaskName{Workflow: n.Workflow, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index}
}

// String returns the name for logs.
func (n Name) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Workflow, n.Occurrence, n.Step, n.Index)
}

// Job is a workflow that was accepted.
type Job struct {
	Spec       *wire.Workflow
	Queue      *wire.Queue // as of the newest configuration that had it
	AcceptedMS int64       // leader's wall clock, Unix milliseconds
	EndedMS    int64       // 0 while it is open
	Cancelled  bool
	Failed     bool
	Started    bool // a task of it was committed to a worker
	Steps      []*Step
	open       int // steps that are not done
}

// Open says whether tasks of the job may still start.
func (j *Job) Open() bool {
	return !j.Cancelled && !j.Failed && j.open > 0
}

// State returns the job's state as callers read it.
func (j *Job) State() string {
	switch {
	case j.Cancelled:
		return StateCancelled
	case j.Failed:
		return StateFailed
	case j.open == 0:
		return StateCompleted
	case j.Started:
		return StateRunning
	default:
		return StateQueued
	}
}

// Step is one step of one occurrence.
type Step struct {
	Job        *Job
	Spec       *wire.Step
	Occurrence int32
	Number     int32
	DueMS      int64 // Unix milliseconds before which nothing of it starts, 0 for at once
	Tasks      []*Task
	Waiting    int // tasks that may start as far as the order of steps goes
	undone     int
	before     int     // steps before it that are not done
	next       []*Step // that wait for it
}

// Ready says whether all steps before it are done.
func (s *Step) Ready() bool { return s.before == 0 }

// Failures returns how often a gang has failed.
func (s *Step) Failures() int32 {
	total := int32(0)
	for _, t := range s.Tasks {
		total += t.Failures
	}
	return total
}

// Task is one task of a step.
type Task struct {
	Step       *Step
	Index      int32
	Run        int32 // highest used
	Failures   int32
	Done       bool
	Worker     *Worker // that it is committed to, nil while it waits
	Checkpoint string
	Ticket     string
}

// Name returns the task's key.
func (t *Task) Name() Name {
	return Name{Workflow: t.Step.Job.Spec.GetId(), Occurrence: t.Step.Occurrence, Step: t.Step.Number, Index: t.Index}
}

// Waits says whether the task may be started.
func (t *Task) Waits() bool {
	return !t.Done && t.Worker == nil && t.Step.Ready() && t.Step.Job.Open()
}

// Worker is one life of a called worker.
type Worker struct {
	*wire.CalledWorker
	Noted    int64         // ends up to this number are in the state
	Used     resource.Size // of tasks that do not fill
	Lasting  resource.Size // part of Used, of tasks that last
	Fill     resource.Size // of tasks that fill; their memory counts
	Tasks    map[*Task]struct{}
	Capacity resource.Size
}

// Free returns what the worker has left for tasks that do not fill.
func (w *Worker) Free() resource.Size {
	free := w.Capacity.Sub(w.Used)
	free.MemoryMiB -= w.Fill.MemoryMiB
	free.Accelerators -= w.Fill.Accelerators
	return free
}

// Fits says whether a task of a step has room on the worker.
func (w *Worker) Fits(s *wire.Step) bool {
	size := resource.FromWire(s.GetSize())
	if s.GetFilling() {
		size.MilliCPU = min(0, w.Free().MilliCPU)
	}
	return size.Fits(w.Free())
}

func (w *Worker) take(t *Task) {
	w.Tasks[t] = struct{}{}
	size := resource.FromWire(t.Step.Spec.GetSize())
	if t.Step.Spec.GetFilling() {
		w.Fill = w.Fill.Add(size)
		return
	}
	w.Used = w.Used.Add(size)
	if t.Step.Spec.GetLasting() {
		w.Lasting = w.Lasting.Add(size)
	}
}

func (w *Worker) release(t *Task) {
	delete(w.Tasks, t)
	size := resource.FromWire(t.Step.Spec.GetSize())
	if t.Step.Spec.GetFilling() {
		w.Fill = w.Fill.Sub(size)
		return
	}
	w.Used = w.Used.Sub(size)
	if t.Step.Spec.GetLasting() {
		w.Lasting = w.Lasting.Sub(size)
	}
}
