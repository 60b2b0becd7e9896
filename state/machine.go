package state

import (
	"sync"

	"daisyswitch/answer"
	"daisyswitch/audit"
	"daisyswitch/wire"
)

// Bounds of the state.
const (
	MaxLiveTasks       = 500_000 // tasks that have not ended, over all jobs
	MaxJobTasks        = 20_000  // tasks of one job
	MaxCheckpointBytes = 16 << 10
	KeepEndedJobs      = 1000   // jobs shown after their end
	KeepEndedTasks     = 50_000 // tasks of those jobs
	KeepLost           = 32     // lost replicas shown per job
	KeepGone           = 256    // workers shown after they left or were lost
	MaxReasonBytes     = 512
	MaxAuditBytes      = 2048 // each text of an audit record
)

// Retries after which a task has failed for good.
const (
	BatchFailures   = 8
	ServiceFailures = 64
)

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
	now           int64  // its time, milliseconds
	configuration *wire.Configuration
	answers       *answer.Table
	audit         *audit.Trail
	jobs          map[string]*job
	nextJob       uint64
	live          int            // tasks not ended
	classJobs     map[string]int // jobs not ended, by class
	teamJobs      map[string]int // jobs not ended, by team
	ended         []*job         // in order of their end
	endedTasks    int
	workers       map[string]*worker
	gone          []string // names of workers gone, longest ago first
	tallies       map[string]*wire.Tally
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
	m := &Machine{o: o}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.index = 0
	m.configuration = &wire.Configuration{Version: 1}
	m.answers = answer.New(answer.Options{Keep: m.o.AnswersKeep})
	m.audit = audit.New(audit.Options{Keep: m.o.AuditKeep})
	m.jobs = map[string]*job{}
	m.nextJob = 1
	m.live = 0
	m.classJobs = map[string]int{}
	m.teamJobs = map[string]int{}
	m.ended = nil
	m.endedTasks = 0
	m.workers = map[string]*worker{}
	m.gone = nil
	m.tallies = map[string]*wire.Tally{}
}

// Apply executes one committed command: change, submission, cancellation, events, workers, then starts.
func (m *Machine) Apply(index uint64, c *wire.Command) *wire.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = index
	m.now = c.TimeMs
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
		result.Events = append(result.Events, m.event(e))
	}
	for _, r := range c.Workers {
		m.setWorker(r)
	}
	for _, s := range c.Starts {
		result.Starts = append(result.Starts, m.start(s))
	}
	m.fold()
	return result
}

// clip bounds a text that came from outside, so that the state stays bounded.
func clip(s string, most int) string {
	if len(s) <= most {
		return s
	}
	return s[:most] + "…"
}
