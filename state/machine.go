package state

import (
	"sync"

	"daisyswitch/answer"
	"daisyswitch/audit"
	"daisyswitch/job"
	"daisyswitch/tally"
	"daisyswitch/task"
	"daisyswitch/wire"
)

// Bounds of what the state keeps of operators' texts.
const (
	MaxReasonBytes = job.MaxReasonBytes
	MaxAuditBytes  = 2048 // each text of an audit record
)

// Ref names one attempt of a task.
type Ref = task.Ref

// Held is a task that is committed to a worker, with its job.
type Held = job.Held

// Totals counts everything that status shows.
type Totals = tally.Totals

// firstVersion is the version of the empty configuration.
const firstVersion = 1

// Options says how much history is kept and who is told of transitions; all replicas must have equal numbers.
type Options struct {
	AuditKeep   int // audit records; 0 for audit.DefaultKeep
	AnswersKeep int // answers per operator; 0 for answer.DefaultKeep

	// The receivers are called with the machine locked and only append to a queue; their arguments are never altered.
	TaskChanged          func(*wire.Job, *wire.Task)
	WorkerChanged        func(*wire.WorkerRecord)
	ConfigurationChanged func(*wire.Configuration)
}

// Machine is the state of one replica; its mutex is the innermost but for the replica's.
type Machine struct {
	o  Options
	mu sync.RWMutex

	index         uint64 // of the command applied last
	now           int64  // its time, Unix milliseconds
	configuration *wire.Configuration
	answers       *answer.Table
	audit         *audit.Trail
	jobs          *job.Table
}

// New returns the empty state, whose configuration has version 1.
func New(o Options) *Machine {
	if o.TaskChanged == nil {
		o.TaskChanged = func(*wire.Job, *wire.Task) {}
	}
	if o.WorkerChanged == nil {
		o.WorkerChanged = func(*wire.WorkerRecord) {}
	}
	if o.ConfigurationChanged == nil {
		o.ConfigurationChanged = func(*wire.Configuration) {}
	}
	m := &Machine{o: o, configuration: &wire.Configuration{Version: firstVersion}}
	m.answers = answer.New(answer.Options{Keep: o.AnswersKeep})
	m.audit = audit.New(audit.Options{Keep: o.AuditKeep})
	m.jobs = m.newJobs()
	return m
}

func (m *Machine) newJobs() *job.Table {
	return job.New(job.Options{
		Configuration: func() *wire.Configuration { return m.configuration },
		MeetDomain:    m.meetDomain,
		TaskChanged:   m.o.TaskChanged,
		WorkerChanged: m.o.WorkerChanged,
	})
}

// Apply executes one committed command: change, submission, cancellation, events, workers, then starts.
func (m *Machine) Apply(index uint64, c *wire.Command) *wire.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = index
	m.now = c.TimeMs
	m.jobs.SetTime(c.TimeMs)
	result := &wire.CommandResult{}
	if c.Change != nil {
		result.Change = m.change(c.Change)
	}
	if c.Submit != nil {
		result.Job = m.submit(c.Submit)
	}
	if c.Cancel != nil {
		result.Job = m.cancel(c.Cancel)
	}
	for _, e := range c.Events {
		result.Events = append(result.Events, m.jobs.Event(e))
	}
	for _, r := range c.Workers {
		m.jobs.SetWorker(r)
	}
	for _, s := range c.Starts {
		result.Starts = append(result.Starts, m.jobs.Start(s))
	}
	m.jobs.Fold()
	return result
}
