package workflow

import (
	"sync"

	"daisyswitch/wire"
)

// Options says who is told of transitions.
type Options struct {
	// The receivers are called with the table locked and must not block.
	Changed  func()      // after each record
	Assigned func(*Task) // committed to a worker
	Closed   func(*Job)  // no task of it may start or go on
	Ended    func(*Job)  // completed, failed or cancelled
}

// Table is the state of one replica; its mutex is taken after that of package state.
type Table struct {
	o  Options
	mu sync.RWMutex
	Tables
}

// Tables are what a Table holds; they are read within View only and altered by nobody else.
type Tables struct {
	Queues  *wire.QueueSet // highest accepted, nil before the first
	Jobs    map[string]*Job
	Workers map[string]*Worker // that are not gone, by id
	Waiting map[*Step]struct{} // with tasks that may start
	Out     map[string]bool    // failure domains that get nothing new
	Waves   map[int64]*wire.Wave
	gone    map[string]*wire.CalledWorker // lives that have ended, by id
	byName  map[string]*wire.Queue

	WorkerChanges uint64 // rises whenever Workers or what they say of themselves changes

	assigned func(*Task)
	closed   func(*Job)
	ended    func(*Job)
}

// Result says what a record did.
type Result struct {
	Answer wire.WorkflowAnswer // to a submission or a cancellation
	Reason string
	Starts []bool // which starts were committed
}

// New returns the empty state.
func New(o Options) *Table {
	if o.Changed == nil {
		o.Changed = func() {}
	}
	if o.Assigned == nil {
		o.Assigned = func(*Task) {}
	}
	if o.Closed == nil {
		o.Closed = func(*Job) {}
	}
	if o.Ended == nil {
		o.Ended = func(*Job) {}
	}
	return &Table{o: o, Tables: empty(o)}
}

func empty(o Options) Tables {
	return Tables{
		assigned: o.Assigned, closed: o.Closed, ended: o.Ended,
		Jobs: map[string]*Job{}, Workers: map[string]*Worker{}, Waiting: map[*Step]struct{}{},
		Out: map[string]bool{}, Waves: map[int64]*wire.Wave{},
		gone: map[string]*wire.CalledWorker{}, byName: map[string]*wire.Queue{},
	}
}

// View calls read with the tables, which it must not keep.
func (t *Table) View(read func(*Tables)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	read(&t.Tables)
}

// Apply executes the part of a committed record that is about workflows; nowMS is the proposer's wall clock.
func (t *Table) Apply(nowMS int64, c *wire.WorkflowCommand) *Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.o.Changed()
	result := &Result{Answer: wire.WorkflowAnswer_WORKFLOW_ANSWER_OK}
	if c.GetQueues() != nil {
		t.setQueues(c.GetQueues())
	}
	if c.GetDomain() != nil {
		t.setDomain(c.GetDomain())
	}
	if c.GetSubmit() != nil {
		t.submit(nowMS, c.GetSubmit(), result)
	}
	if c.GetCancel() != "" {
		t.cancel(nowMS, c.GetCancel(), result)
	}
	for _, w := range c.GetWorkers() {
		t.setWorker(w)
	}
	for _, e := range c.GetEnds() {
		t.end(nowMS, e)
	}
	for _, s := range c.GetStarts() {
		result.Starts = append(result.Starts, t.start(s))
	}
	t.upkeep(c)
	return result
}

func (t *Tables) setQueues(q *wire.QueueSet) {
	if q.GetVersion() <= t.Queues.GetVersion() {
		return
	}
	t.Queues = q
	t.byName = map[string]*wire.Queue{}
	for _, queue := range q.GetQueues() {
		t.byName[queue.GetName()] = queue
	}
	for _, j := range t.Jobs {
		if queue := t.byName[j.Spec.GetQueue()]; queue != nil {
			j.Queue = queue
		}
	}
}

func (t *Tables) setDomain(d *wire.DomainOut) {
	if d.GetOut() {
		t.Out[d.GetDomain()] = true
		return
	}
	delete(t.Out, d.GetDomain())
}

func (t *Tables) upkeep(c *wire.WorkflowCommand) {
	if w := c.GetWave(); w != nil && t.Waves[w.GetNumber()] == nil {
		t.Waves[w.GetNumber()] = w
	}
	for _, u := range c.GetUpkeep() {
		if w := t.Waves[u.GetWave()]; w != nil {
			w.Begun = append(w.Begun, u.GetMachine())
		}
	}
}

// GetReason returns why the command did nothing, empty if it did or there is no result.
func (r *Result) GetReason() string {
	if r == nil {
		return ""
	}
	return r.Reason
}
