package job

import (
	"daisyswitch/configuration"
	"daisyswitch/tally"
	"daisyswitch/wire"
)

// Bounds of the table.
const (
	MaxLiveTasks   = 500_000 // tasks that have not ended, over all jobs
	KeepEndedJobs  = 1000    // jobs shown after their end
	KeepEndedTasks = 50_000  // tasks of those jobs
	KeepLost       = 32      // lost replicas shown per job
	KeepGone       = 256     // workers shown after they left or were lost
	MaxReasonBytes = 512
)

// Failures after which a task has failed for good.
const (
	BatchFailures   = 8
	ServiceFailures = 64
)

// Options is what the table asks of the rest of the state and whom it tells of transitions; none may be nil.
type Options struct {
	Configuration func() *wire.Configuration
	MeetDomain    func(domain, worker string) // a worker announced a failure domain
	TaskChanged   func(*wire.Job, *wire.Task)
	WorkerChanged func(*wire.WorkerRecord)
}

// Table holds jobs, tasks and workers; it has no lock of its own.
type Table struct {
	o          Options
	now        int64 // time of the command in progress, Unix milliseconds
	jobs       map[string]*job
	nextJob    uint64
	live       int            // tasks not ended
	classJobs  map[string]int // jobs not ended, by class
	teamJobs   map[string]int // jobs not ended, by team
	ended      []*job         // in order of their end
	endedTasks int
	workers    map[string]*worker
	gone       []string // names of workers gone, longest ago first
	tallies    *tally.Table
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{
		o: o, jobs: map[string]*job{}, nextJob: 1, classJobs: map[string]int{}, teamJobs: map[string]int{},
		workers: map[string]*worker{}, tallies: tally.New(),
	}
}

// SetTime sets the time that the next transitions bear.
func (tb *Table) SetTime(ms int64) { tb.now = ms }

// ClassUsers returns how many jobs of a class have not ended.
func (tb *Table) ClassUsers(class string) int { return tb.classJobs[class] }

// TeamUsers returns how many jobs of a team have not ended.
func (tb *Table) TeamUsers(team string) int { return tb.teamJobs[team] }

// DropTallies forgets the counts of classes that were removed.
func (tb *Table) DropTallies() {
	tb.tallies.Keep(func(class string) bool {
		return configuration.Class(tb.o.Configuration().Classes, class) != nil
	})
}
