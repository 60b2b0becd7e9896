package job

import (
	"daisyswitch/configuration"
	"daisyswitch/tally"
	"daisyswitch/wire"
)

// Limits of the table.
const (
	MaxLiveTasks    = 500_000 // tasks of all jobs that have not ended
	MaxEndedJobs    = 1000    // ended jobs that are kept
	MaxEndedTasks   = 50_000  // tasks of the ended jobs that are kept
	MaxLostReplicas = 32      // lost replicas kept per job
	MaxGoneWorkers  = 256     // workers kept after they left or were lost
	MaxReasonBytes  = 512
)

// Number of failures after which a task fails permanently.
const (
	BatchFailures   = 8
	ServiceFailures = 64
)

// Options holds the functions that the table calls to read the configuration and to report state changes. None may be nil.
type Options struct {
	Configuration   func() *wire.Configuration
	DomainAnnounced func(domain, worker string) // called for the failure domain of each announced worker
	TaskChanged     func(*wire.Job, *wire.Task)
	WorkerChanged   func(*wire.WorkerRecord)
}

// Table holds jobs, tasks and workers. Its caller must serialize access to it.
type Table struct {
	options         Options
	commandTime     int64 // time of the command being applied, Unix milliseconds
	jobs            map[string]*job
	nextJob         uint64
	unfinishedTasks int            // tasks that have not ended
	classJobs       map[string]int // jobs that have not ended, by class
	teamJobs        map[string]int // jobs that have not ended, by team
	endedJobs       []*job         // in the order in which they ended
	endedTasks      int
	workers         map[string]*worker
	goneWorkers     []string // names of the workers that left or were lost, the earliest first
	tallies         *tally.Table
}

// New returns an empty table.
func New(options Options) *Table {
	return &Table{
		options: options, jobs: map[string]*job{}, nextJob: 1, classJobs: map[string]int{}, teamJobs: map[string]int{},
		workers: map[string]*worker{}, tallies: tally.New(),
	}
}

// SetTime sets the time that is recorded with the next state changes.
func (tb *Table) SetTime(ms int64) { tb.commandTime = ms }

// ClassUsers returns how many jobs of a class have not ended.
func (tb *Table) ClassUsers(class string) int { return tb.classJobs[class] }

// TeamUsers returns how many jobs of a team have not ended.
func (tb *Table) TeamUsers(team string) int { return tb.teamJobs[team] }

// DropTallies removes the counts of classes that are no longer configured.
func (tb *Table) DropTallies() {
	tb.tallies.DeleteUnknown(func(class string) bool {
		return configuration.Class(tb.options.Configuration().Classes, class) != nil
	})
}
