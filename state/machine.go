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

// Limits of the texts that the state keeps.
const (
	MaxReasonBytes = job.MaxReasonBytes
	MaxAuditBytes  = 2048 // for each text of an audit record
)

// Ref identifies one attempt of a task.
type Ref = task.Ref

// Held is a task that is committed to a worker, with its job.
type Held = job.Held

// Totals counts what the status shows.
type Totals = tally.Totals

// firstVersion is the version of the empty configuration.
const firstVersion = 1

// Options configures how much history is kept and the callbacks for state changes. The numbers must be equal on all replicas.
type Options struct {
	AuditKeep   int // audit records to keep; 0 for audit.DefaultKeep
	AnswersKeep int // answers to keep per operator; 0 for answer.DefaultKeep

	// The callbacks run with the machine locked, so they must only append to a queue. Their arguments are never modified afterwards.
	TaskChanged          func(*wire.Job, *wire.Task)
	WorkerChanged        func(*wire.WorkerRecord)
	ConfigurationChanged func(*wire.Configuration)
}

// Machine is the state of one replica. While its mutex is held, only the replica's may be acquired.
type Machine struct {
	options Options
	mu      sync.RWMutex

	index         uint64 // log index of the last command applied
	commandTime   int64  // time of that command, Unix milliseconds
	configuration *wire.Configuration
	answers       *answer.Table
	audit         *audit.Trail
	jobs          *job.Table
}

// New returns an empty state, whose configuration has version 1.
func New(options Options) *Machine {
	if options.TaskChanged == nil {
		options.TaskChanged = func(*wire.Job, *wire.Task) {}
	}
	if options.WorkerChanged == nil {
		options.WorkerChanged = func(*wire.WorkerRecord) {}
	}
	if options.ConfigurationChanged == nil {
		options.ConfigurationChanged = func(*wire.Configuration) {}
	}
	m := &Machine{options: options, configuration: &wire.Configuration{Version: firstVersion}}
	m.answers = answer.New(answer.Options{Keep: options.AnswersKeep})
	m.audit = audit.New(audit.Options{Keep: options.AuditKeep})
	m.jobs = m.newJobs()
	return m
}

func (m *Machine) newJobs() *job.Table {
	return job.New(job.Options{
		Configuration:   func() *wire.Configuration { return m.configuration },
		DomainAnnounced: m.addAnnouncedDomain,
		TaskChanged:     m.options.TaskChanged,
		WorkerChanged:   m.options.WorkerChanged,
	})
}

// Apply executes one committed command. Its parts are applied in this order: change, submission, cancellation, events, workers, starts.
func (m *Machine) Apply(index uint64, c *wire.Command) *wire.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = index
	m.commandTime = c.TimeMs
	m.jobs.SetTime(c.TimeMs)
	result := &wire.CommandResult{}
	if c.Change != nil {
		result.Change = m.applyChange(c.Change)
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
	m.jobs.Prune()
	return result
}
