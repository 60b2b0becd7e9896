package slope

import (
	"fmt"
	"time"

	"daisyswitch/place"
	"daisyswitch/state"
	"daisyswitch/wire"
)

// The design size, from the users' first requirements.
const (
	designWorkers  = 1_700
	designTasks    = 35_100 // 6,100 of services and 29,000 of batch
	designStarts   = 1_100  // a second at the peak
	designJobs     = 32_000 // a day
	designTeams    = 190
	designDomains  = 17
	designChanges  = 670 // a day
	designRestarts = 560 // a day
	tasksPerWorker = designTasks / designWorkers
	reportsPerS    = designWorkers // each worker polls once a second
	tasksPerJob    = 100
)

var workerSize = &wire.Size{MilliCpu: 64_000, MemoryMib: 250_000, Accelerators: 2}

// cluster is a state machine with the placer that follows it, as on a leader.
type cluster struct {
	machine *state.Machine
	placer  *place.Placer
	index   uint64
	now     time.Time
	jobs    int
}

func newCluster(workers int) *cluster {
	c := &cluster{now: time.Unix(1_800_000_000, 0)}
	c.placer = place.New(place.Options{Seed: 1})
	c.machine = state.New(state.Options{
		TaskChanged:          func(j *wire.Job, t *wire.Task) { c.placer.SetTask(j, t) },
		WorkerChanged:        func(w *wire.WorkerRecord) { c.placer.SetWorker(w) },
		ConfigurationChanged: func(f *wire.Configuration) { c.placer.SetConfiguration(f) },
	})
	class := &wire.Class{Name: "refunds", Kind: wire.ClassKind_CLASS_KIND_BATCH, TargetVolume: 1_000_000, DueMinute: 1380}
	c.change(&wire.Change{Operation: &wire.Change_PutClass{PutClass: class}})
	team := &wire.Team{Name: "ledger", Quota: &wire.Size{MilliCpu: 1 << 40, MemoryMib: 1 << 40, Accelerators: 1 << 20}}
	c.change(&wire.Change{Operation: &wire.Change_PutTeam{PutTeam: team}})
	for i := range workers {
		c.apply(&wire.Command{Workers: []*wire.WorkerRecord{workerRecord(i)}})
	}
	return c
}

func workerRecord(i int) *wire.WorkerRecord {
	return &wire.WorkerRecord{
		Name:        fmt.Sprintf("worker-%05d", i),
		Domain:      fmt.Sprintf("domain-%02d", i%designDomains),
		Rack:        fmt.Sprintf("rack-%d", i/8),
		Incarnation: "one",
		Capacity:    workerSize,
	}
}

func (c *cluster) apply(command *wire.Command) *wire.CommandResult {
	c.index++
	command.TimeMs = c.now.UnixMilli()
	return c.machine.Apply(c.index, command)
}

func (c *cluster) change(change *wire.Change) {
	change.Operator = "ana"
	change.Sequence = c.index + 1
	change.BaseVersion = c.machine.Configuration().GetVersion()
	c.apply(&wire.Command{Change: change})
}

// submit submits the tasks in jobs of tasksPerJob.
func (c *cluster) submit(tasks int) {
	for tasks > 0 {
		n := min(tasks, tasksPerJob)
		tasks -= n
		c.jobs++
		job := &wire.Job{
			Id:         fmt.Sprintf("job-%d", c.jobs),
			Team:       "ledger",
			Class:      "refunds",
			Program:    fmt.Sprintf("program-%d", c.jobs%20),
			Size:       &wire.Size{MilliCpu: 1_000, MemoryMib: 2_000},
			Tasks:      int32(n),
			ExpectedMs: 60_000,
		}
		c.apply(&wire.Command{Submit: &wire.SubmitJob{Operator: "bea", Sequence: uint64(c.jobs), Job: job}})
	}
}

// placeAndStart places all queued tasks and applies their starts. It returns the applied commands and the number of tasks started.
func (c *cluster) placeAndStart() (records []*wire.Command, started int) {
	const idleSteps = 500 // consecutive steps without a start, after which no more are expected
	for idle := 0; idle < idleSteps; idle++ {
		c.now = c.now.Add(20 * time.Millisecond)
		starts := c.placer.Decide(c.now).Starts
		if len(starts) == 0 {
			continue
		}
		idle = 0
		command := &wire.Command{Starts: starts}
		for _, ok := range c.apply(command).Starts {
			if ok {
				started++
			}
		}
		records = append(records, command)
	}
	return records, started
}

// reportRunning applies an event for each started task that it is running.
func (c *cluster) reportRunning() {
	var events []*wire.TaskEvent
	c.machine.EachTask(func(j *wire.Job, t *wire.Task) {
		if t.State != wire.TaskState_TASK_STATE_STARTING {
			return
		}
		ref := &wire.TaskRef{Job: j.Id, Index: t.Index, Attempt: t.Attempt}
		events = append(events, &wire.TaskEvent{Task: ref, Kind: wire.TaskEventKind_TASK_EVENT_KIND_RUNNING})
	})
	c.apply(&wire.Command{Events: events})
}

// newRunningCluster returns a cluster in which the given number of tasks runs.
func newRunningCluster(workers, tasks int) *cluster {
	c := newCluster(workers)
	c.submit(tasks)
	c.placeAndStart()
	c.reportRunning()
	return c
}

// report returns the report that a worker with the given number of tasks sends each second.
func report(i, tasks int, sequence uint64) *wire.WorkerReport {
	r := &wire.WorkerReport{Worker: workerRecord(i), Sequence: sequence}
	for t := range tasks {
		r.Tasks = append(r.Tasks, taskReport(fmt.Sprintf("job-%d", i), int32(t), 1))
	}
	return r
}

func taskReport(job string, index int32, attempt uint32) *wire.TaskReport {
	return &wire.TaskReport{
		Task:        &wire.TaskRef{Job: job, Index: index, Attempt: attempt},
		Phase:       wire.TaskEventKind_TASK_EVENT_KIND_RUNNING,
		Used:        &wire.Size{MilliCpu: 800, MemoryMib: 1_500},
		ProgressPpm: 950_000,
	}
}
