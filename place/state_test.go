package place

import (
	"fmt"
	"time"

	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// state simulates the replicated state: it commits the decisions of a placer and notifies it of each transition.
type state struct {
	*Placer
	now     time.Time
	config  *wire.Configuration
	jobs    map[string]*wire.Job
	tasks   map[string][]*wire.Task
	workers map[string]*wire.WorkerRecord
}

func newState(o Options, classes ...*wire.Class) *state {
	s := &state{Placer: New(o), now: simStart, config: &wire.Configuration{Classes: classes}, jobs: map[string]*wire.Job{}, tasks: map[string][]*wire.Task{}, workers: map[string]*wire.WorkerRecord{}}
	s.SetConfiguration(s.config)
	return s
}

var (
	batchClass   = &wire.Class{Name: "batch", Kind: wire.ClassKind_CLASS_KIND_BATCH}
	serviceClass = &wire.Class{Name: "service", Kind: wire.ClassKind_CLASS_KIND_SERVICE, TargetP99Us: 1000}
)

func size(cores, gib, accelerators int64) *wire.Size {
	return &wire.Size{MilliCpu: cores * 1000, MemoryMib: gib * 1024, Accelerators: accelerators}
}

// add announces workers w0, w1 and so on, assigned to the domains in turn, with two workers per rack.
func (s *state) add(workers int, capacity *wire.Size, domains ...string) *state {
	for range workers {
		n := len(s.workers)
		r := &wire.WorkerRecord{Name: fmt.Sprint("w", n), Domain: domains[n%len(domains)], Rack: fmt.Sprint("r", n/len(domains)/2), Capacity: capacity}
		s.workers[r.Name] = r
		s.SetWorker(r)
	}
	return s
}

func (s *state) out(domain string, out bool) {
	s.config = &wire.Configuration{Classes: s.config.Classes, Teams: s.config.Teams, Domains: []*wire.Domain{{Name: domain, Out: out}}}
	s.SetConfiguration(s.config)
}

func (s *state) submit(j *wire.Job) *wire.Job {
	j.Id = fmt.Sprint("j", len(s.jobs))
	if j.Class == "" {
		j.Class = "batch"
	}
	s.jobs[j.Id] = j
	for n := range max(1, j.Tasks) {
		t := &wire.Task{Job: j.Id, Index: n, State: wire.TaskState_TASK_STATE_QUEUED}
		s.tasks[j.Id] = append(s.tasks[j.Id], t)
		s.SetTask(j, t)
	}
	return j
}

func (s *state) set(t *wire.Task, state wire.TaskState) {
	t.State = state
	t.ChangedMs = s.now.UnixMilli()
	s.SetTask(s.jobs[t.Job], t)
}

func (s *state) fail(t *wire.Task) {
	t.Failures++
	s.set(t, wire.TaskState_TASK_STATE_QUEUED)
}

func (s *state) start(o *wire.Start) *wire.Task {
	t := s.tasks[o.Job][o.Index]
	t.Attempt, t.Worker, t.Committed = o.Attempt, o.Worker, o.Size
	s.set(t, wire.TaskState_TASK_STATE_RUNNING)
	return t
}

// decide advances the clock, runs Decide, commits the starts and applies the events.
func (s *state) decide(after time.Duration) Decisions {
	s.now = s.now.Add(after)
	d := s.Decide(s.now)
	for _, o := range d.Starts {
		s.start(o)
	}
	for _, e := range d.Events {
		s.apply(e)
	}
	return d
}

func (s *state) apply(e *wire.TaskEvent) {
	t := s.tasks[e.Task.Job][e.Task.Index]
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_STOPPING:
		s.set(t, wire.TaskState_TASK_STATE_STOPPING)
	case wire.TaskEventKind_TASK_EVENT_KIND_RESIZE:
		t.Committed = e.Size
		s.set(t, t.State)
	case wire.TaskEventKind_TASK_EVENT_KIND_CANNOT_RUN:
		s.set(t, wire.TaskState_TASK_STATE_CANNOT_RUN)
	default:
		s.set(t, wire.TaskState_TASK_STATE_FAILED)
	}
}

// report passes a report of a worker's tasks to the placer; f returns the usage and the tail latency in microseconds of a task.
func (s *state) report(worker string, f func(*wire.Task) (*wire.Size, int64)) {
	r := &wire.WorkerReport{Worker: s.workers[worker], Sequence: 1}
	for _, t := range s.on(worker) {
		used, p99 := f(t)
		r.Tasks = append(r.Tasks, &wire.TaskReport{Task: &wire.TaskRef{Job: t.Job, Index: t.Index, Attempt: t.Attempt}, Used: used, P99Us: p99})
	}
	s.Observe(s.now, r)
}

// on returns the tasks that hold capacity on a worker, in order.
func (s *state) on(worker string) (list []*wire.Task) {
	for n := range len(s.jobs) {
		for _, t := range s.tasks[fmt.Sprint("j", n)] {
			if t.Worker == worker && fleet.Holding(t.State) {
				list = append(list, t)
			}
		}
	}
	return list
}

func (s *state) held(worker string) (sum resource.Size) {
	for _, t := range s.on(worker) {
		sum = sum.Add(resource.FromWire(t.Committed))
	}
	return sum
}
