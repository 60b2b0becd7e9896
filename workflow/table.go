package workflow

import (
	"sync"

	"daisyswitch/share"
	"daisyswitch/wire"
)

// Options holds the callbacks for state transitions.
type Options struct {
	// The callbacks run with the table locked and must not block.
	Changed  func()      // after each record
	Assigned func(*Task) // the task was committed to a worker
	Closed   func(*Job)  // no task of the job may start or continue
	Ended    func(*Job)  // the job completed, failed or was cancelled
}

// Table is the workflow state of one replica. Its mutex is locked after that of package state.
type Table struct {
	options Options
	mu      sync.RWMutex
	Tables
}

// Tables is the content of a Table. It is read only within View and modified only by this package.
type Tables struct {
	Queues        *wire.QueueSet // highest accepted version, nil before the first
	Jobs          map[string]*Job
	Workers       map[string]*Worker // by id, without those that are gone
	Waiting       map[*Step]struct{} // steps with tasks that may start
	Out           map[string]bool    // failure domains that get no new tasks
	Waves         map[int64]*wire.Wave
	gone          map[string]*wire.CalledWorker // ended incarnations, by id
	lastEnded     uint64                        // the highest of their numbers
	forgetsOldest bool                          // of the record that is being applied
	queuesByPlace map[Place]*wire.Queue
	queuesByName  map[string]*wire.Queue // for records of an earlier build
	pools         map[string]bool        // of the queues, and of jobs that were open when the configuration came into force

	held            int64                      // bytes of all jobs, estimated
	workspaces      map[string]*wire.Workspace // of the present configuration, by name
	workspacesByKey map[string]*wire.Workspace
	meanWeight      float64                       // of the workspaces
	totalWeight     float64                       // of the workspaces, and of the tasks of none if there are public queues
	inUse           map[string]share.Use          // by workspace, of the tasks that are committed to a worker; "" for those of none
	inPool          map[workspaceInPool]share.Use // the part of inUse on the workers of one pool

	WorkerChanges uint64 // incremented whenever Workers or an announcement of a worker changes

	onAssigned func(*Task)
	onClosed   func(*Job)
	onEnded    func(*Job)
}

// Result is the outcome of applying a record.
type Result struct {
	Answer wire.WorkflowAnswer // for a submission or a cancellation
	Reason string
	Starts []bool // whether each start was committed, in the order of the record
}

// New returns an empty table.
func New(options Options) *Table {
	if options.Changed == nil {
		options.Changed = func() {}
	}
	if options.Assigned == nil {
		options.Assigned = func(*Task) {}
	}
	if options.Closed == nil {
		options.Closed = func(*Job) {}
	}
	if options.Ended == nil {
		options.Ended = func(*Job) {}
	}
	return &Table{options: options, Tables: emptyState(options)}
}

func emptyState(o Options) Tables {
	return Tables{
		onAssigned: o.Assigned, onClosed: o.Closed, onEnded: o.Ended,
		Jobs: map[string]*Job{}, Workers: map[string]*Worker{}, Waiting: map[*Step]struct{}{},
		Out: map[string]bool{}, Waves: map[int64]*wire.Wave{},
		gone: map[string]*wire.CalledWorker{}, queuesByPlace: map[Place]*wire.Queue{}, queuesByName: map[string]*wire.Queue{}, inUse: map[string]share.Use{}, inPool: map[workspaceInPool]share.Use{},
	}
}

// View calls read with the tables locked for reading; read must not retain them.
func (t *Table) View(read func(*Tables)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	read(&t.Tables)
}

// Apply applies the workflow part of a committed record; nowMS is the proposer's wall clock.
func (t *Table) Apply(nowMS int64, c *wire.WorkflowCommand) *Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.options.Changed()
	result := &Result{Answer: wire.WorkflowAnswer_WORKFLOW_ANSWER_OK}
	t.forgetsOldest = c.GetForgetOldest()
	if c.GetQueues() != nil {
		t.setQueues(c.GetQueues(), c.GetByPlace())
	}
	if c.GetDomain() != nil {
		t.setDomain(c.GetDomain())
	}
	if c.GetSubmit() != nil {
		t.submit(nowMS, c, result)
	}
	if c.GetCancel() != "" {
		t.cancel(nowMS, c, result)
	}
	for _, w := range c.GetWorkers() {
		t.setWorker(w)
	}
	t.markBegun(c.GetBegun())
	t.markLateStarts(c.GetLateStarts())
	for _, e := range c.GetEnds() {
		t.recordEnd(nowMS, e)
	}
	for _, s := range c.GetStarts() {
		result.Starts = append(result.Starts, t.commitStart(s))
	}
	t.applyUpkeep(c)
	return result
}

func (t *Tables) setDomain(d *wire.DomainOut) {
	if d.GetOut() {
		t.Out[d.GetDomain()] = true
		return
	}
	delete(t.Out, d.GetDomain())
}

func (t *Tables) applyUpkeep(c *wire.WorkflowCommand) {
	if w := c.GetWave(); w != nil && t.Waves[w.GetNumber()] == nil {
		t.Waves[w.GetNumber()] = w
	}
	for _, u := range c.GetUpkeep() {
		if w := t.Waves[u.GetWave()]; w != nil {
			w.Begun = append(w.Begun, u.GetMachine())
		}
	}
}

// GetReason returns why the command was refused; it is empty if the command was accepted or r is nil.
func (r *Result) GetReason() string {
	if r == nil {
		return ""
	}
	return r.Reason
}
