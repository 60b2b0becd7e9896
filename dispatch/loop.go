package dispatch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/group"
	"daisyswitch/headroom"
	"daisyswitch/share"
	"daisyswitch/wire"
	"daisyswitch/workflow"

	"github.com/VictoriaMetrics/metrics"
)

// Timing of the loop.
const (
	checkInterval    = 100 * time.Millisecond // between checks of what changes with time alone, such as due times; a tenth of the shortest delay that callers notice
	commitRetryDelay = 50 * time.Millisecond  // after a record that was not committed; one election tick
	minRoundGap      = 5 * time.Millisecond   // least pause between placement rounds; a fraction of a commit
	roundGapFactor   = 1                      // pause after a round as a multiple of its duration, to leave time to other goroutines
	maxStarts        = 500                    // in one record, which bounds how long other records wait for it
	callTimeout      = 600 * time.Millisecond // longest wait for an answer; workers are a few milliseconds away
	minRetryDelay    = 50 * time.Millisecond  // before a call is repeated
	maxRetryDelay    = 800 * time.Millisecond // below a worker's lease, so that a recovered worker answers before it lapses
	longHoldWait     = time.Second            // how long a worker may wait for a run to end before it answers
	driftDivisor     = 50                     // workers' clocks are slow by at most a fiftieth
)

// Options configures a Loop.
type Options struct {
	Table     *workflow.Table
	Calls     call.Functions
	Commit    func(context.Context, *wire.WorkflowCommand) (*workflow.Result, error)
	Leads     func() bool          // whether this process may act as the leader now
	SinceBoot func() time.Duration // clock that includes time in which the machine was suspended
	Wall      func() time.Time
	Lease     time.Duration // granted to workers
	MaxLease  time.Duration // longest lease that any leader can have granted
	Lookahead bool          // whether capacity is kept for large tasks that found none
	Metrics   *metrics.Set  // set to which the loop adds its metrics; nil for none
}

// Loop places tasks and calls workers while this replica leads.
// Locks are taken in the order table, session, link.
type Loop struct {
	options  Options
	counters *counters
	wake     chan struct{}

	session atomic.Pointer[session] // of the present leadership, nil if there is none

	mu        sync.Mutex // guards the fields below; may be taken while the table is locked
	listening bool       // whether updates are collected; the table's hooks also run on replicas that do not lead
	updates
}

// updates holds the changes that the table's hooks reported since the loop last took them.
type updates struct {
	assigned []*workflow.Task
	closed   []*workflow.Job
	ended    []*workflow.Job
}

// New returns a loop that is idle until Run is called.
func New(options Options) *Loop {
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	return &Loop{options: options, counters: newCounters(options.Metrics), wake: make(chan struct{}, 1)}
}

// SetTable sets the table after construction, since the table's hooks refer to the loop.
func (l *Loop) SetTable(t *workflow.Table) { l.options.Table = t }

// Changed wakes the loop to check the state again.
func (l *Loop) Changed() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Assigned queues a task whose start on a worker was committed.
func (l *Loop) Assigned(t *workflow.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listening {
		l.assigned = append(l.assigned, t)
	}
}

// Closed queues a job of which nothing may continue to run.
func (l *Loop) Closed(j *workflow.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listening {
		l.closed = append(l.closed, j)
	}
}

// Ended queues a job that has completed, failed or been cancelled.
func (l *Loop) Ended(j *workflow.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listening {
		l.ended = append(l.ended, j)
	}
}

// setListening turns the collection of updates on or off and drops those collected so far.
func (l *Loop) setListening(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listening, l.updates = on, updates{}
}

func (l *Loop) takeUpdates() updates {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.updates
	l.updates = updates{}
	return n
}

// Run places tasks and calls workers as the leader of the given term until ctx ends, and then waits for its goroutines.
func (l *Loop) Run(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{
		Options: l.options, counters: l.counters, ctx: ctx, term: term,
		links: map[string]*link{}, runs: map[runKey]*run{}, excluded: map[workflow.Name]map[string]exclusion{}, stalls: map[workflow.Name]int{}, lastAtWork: map[*workflow.Task]time.Duration{}, taskDuration: map[workflow.Place]*taskDuration{}, headrooms: headroom.New(), initialPaces: map[runKey]int{}, lateStarts: map[workflow.Name]time.Duration{}, begun: map[string]struct{}{}, allImageNumbers: map[string]int{}, candidates: map[string]*candidate{}, endBatches: newEndBatcher(), shortages: map[shortageKey]*shortage{}, ahead: newAhead(l.options.Lookahead),
	}
	defer s.tasks.Wait()
	l.session.Store(s)
	defer l.endSession()
	l.setListening(true)
	defer l.setListening(false)
	s.adoptRuns()
	defer s.showUsages(nil)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		s.process(l.takeUpdates())
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			s.pause(time.Until(s.nextRound))
		case <-ticker.C:
			s.stopStalled()
			s.moveSlowed()
			s.stopOnLeavingWorkers()
			s.commitBegun()
			s.dropLateStarts()
			s.summarize()
		}
	}
}

// process applies the collected updates and then runs a placement round.
func (s *session) process(n updates) {
	s.updateLinks()
	for _, t := range n.assigned {
		s.trackRun(t, false)
	}
	for _, j := range n.closed {
		s.stopJob(j)
	}
	for _, j := range n.ended {
		s.recordWorkflowEnd(j)
	}
	if !s.placeWaiting() {
		s.pause(commitRetryDelay)
	}
}

// session is the state of one leadership.
type session struct {
	Options
	*counters
	ctx              context.Context
	term             uint64
	nextSummary      time.Duration                           // boot clock, of the next summary; used by the loop's goroutine only
	roundCount       int                                     // rounds with waiting tasks so far; used by the loop's goroutine only
	candidates       map[string]*candidate                   // by worker; used by the loop's goroutine only
	shortages        map[shortageKey]*shortage               // shortages by requirement; used by the loop's goroutine only
	offers           []offer                                 // buffer of the step being placed, reused for the next; used by the loop's goroutine only
	done             loopStats                               // since the last summary
	nextRound        time.Time                               // earliest start of the next round after a wake-up; used by the loop's goroutine only
	lastingWaitSince map[*workflow.Step]time.Duration        // boot clock, since when lasting steps have had waiting tasks; used by the loop's goroutine only
	heldBackUntil    map[*workflow.Task]time.Duration        // boot clock, of the waiting lasting tasks that have run before; used by the loop's goroutine only
	keptOn           map[*workflow.Task]*workflow.Worker     // on which the latest round kept room for lasting tasks; used by the loop's goroutine only
	waits            atomic.Pointer[map[string]*share.Waits] // by pool, after the latest round
	waitingAtQuota   map[string]int                          // tasks by workspace after the latest round; used by the loop's goroutine only
	shownMetrics     map[string]bool                         // metrics of workspaces; used by the loop's goroutine only
	fullPools        map[string]bool                         // pools that were logged as full; used by the loop's goroutine only
	contests         map[string]*contest                     // by pool; used by the loop's goroutine only
	workerChanges    uint64                                  // the table's WorkerChanges when links was last updated; used by the loop's goroutine only
	ahead            *ahead                                  // nil unless capacity is kept for large tasks
	endBatches       *endBatcher
	tasks            group.Group

	mu              sync.Mutex // guards the fields below
	links           map[string]*link
	runs            map[runKey]*run
	excluded        map[workflow.Name]map[string]exclusion // by task and worker
	stalls          map[workflow.Name]int                  // how often a run of a task was stopped since it made no progress
	lastAtWork      map[*workflow.Task]time.Duration       // boot clock, when lasting tasks without a run were last known to run
	taskDuration    map[workflow.Place]*taskDuration       // mean run times by queue
	headrooms       *headroom.Table
	lateStarts      map[workflow.Name]time.Duration // boot clock, until when a start that was not answered may be executed, of tasks that were started again since
	begun           map[string]struct{}             // workflows of which a run has begun, to be committed
	initialPaces    map[runKey]int                  // paces in percent of runs that have not started
	allImageNumbers map[string]int                  // indexes of images in costs
}

// adoptRuns takes over the runs that earlier leaders committed.
func (s *session) adoptRuns() {
	var tasks []*workflow.Task
	s.Table.View(func(t *workflow.Tables) {
		for _, w := range t.Workers {
			for task := range w.Tasks {
				tasks = append(tasks, task)
			}
		}
	})
	event.RunsAdopted.Info("runs", len(tasks), "term", s.term)
	s.updateLinks()
	for _, task := range tasks {
		s.trackRun(task, true)
	}
}

// pause waits, unless the leadership ends.
func (s *session) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

// mayCall reports whether workers may be called now.
func (s *session) mayCall() bool {
	return s.ctx.Err() == nil && s.Leads()
}

// leadsPollInterval is how often a leader whose confirmation by the quorum is late checks for it again; a fifth of an election tick.
const leadsPollInterval = 10 * time.Millisecond

// awaitMayCall waits until workers may be called, and returns false once ctx has ended.
func (s *session) awaitMayCall(ctx context.Context) bool {
	for ctx.Err() == nil {
		if s.Leads() {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(leadsPollInterval):
		}
	}
	return false
}

// commitWithRetry commits a command, retrying until it is committed or the leadership ends.
func (s *session) commitWithRetry(c *wire.WorkflowCommand) bool {
	c.Begun = append(c.Begun, s.takeBegun()...)
	for s.ctx.Err() == nil {
		began := time.Now()
		_, err := s.Commit(s.ctx, c)
		observeSince(s.commitTime, began)
		if err == nil {
			return true
		}
		event.RecordNotCommitted.Error(err, "ends", len(c.GetEnds()), "workers", len(c.GetWorkers()))
		s.pause(commitRetryDelay)
	}
	return false
}

// updateLinks starts calling new workers and stops calling those that are gone.
func (s *session) updateLinks() {
	var current map[string]*wire.CalledWorker
	ends := map[string]adoptedEnds{}
	s.Table.View(func(t *workflow.Tables) {
		if t.WorkerChanges == s.workerChanges {
			return
		}
		s.workerChanges = t.WorkerChanges
		current = map[string]*wire.CalledWorker{}
		for id, w := range t.Workers {
			current[id], ends[id] = w.CalledWorker, adoptedEnds{w.Noted, slices.Clone(w.LateEnds)}
		}
	})
	if current == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	former := map[string]predecessor{}
	for id, l := range s.links {
		if w := current[id]; w == nil || w.GetBorn() != l.worker.GetBorn() {
			l.cancel()
			delete(s.links, id)
			former[id] = l.predecessor()
			for key, r := range l.runs {
				if r.listed {
					s.recordAtWork(r, r.listedAt)
				}
				delete(s.runs, key)
			}
		}
	}
	added := map[string]string{} // ids of new workers by address
	for id, w := range current {
		if l := s.links[id]; l != nil {
			l.setWorker(w)
			continue
		}
		l := newLink(s, w, former[id])
		l.adoptEnds(ends[id])
		s.links[id] = l
		s.tasks.Go(func() { l.keepLease(0) })
		added[w.GetAddress()] = id
	}
	for id, l := range s.links {
		if other, shared := added[l.currentWorker().GetAddress()]; shared && other != id {
			l.askAgain()
		}
	}
}
