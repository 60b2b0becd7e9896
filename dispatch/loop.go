package dispatch

import (
	"context"
	"sync"
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/group"
	"daisyswitch/headroom"
	"daisyswitch/wire"
	"daisyswitch/workflow"

	"github.com/VictoriaMetrics/metrics"
)

// Timing of the loop.
const (
	tick         = 100 * time.Millisecond // between looks at what time alone changes, such as due times; a tenth of the shortest delay that callers notice
	commitRetry  = 50 * time.Millisecond  // after a record that was not committed; one election tick
	roundGap     = 5 * time.Millisecond   // between rounds of placing; a fraction of a commit
	roundShare   = 1                      // times as long as a round took, the loop leaves to others before the next
	maxStarts    = 500                    // in one record, which bounds the time that others wait for it
	callTime     = 600 * time.Millisecond // longest wait for an answer; workers are a few milliseconds away
	retryFirst   = 50 * time.Millisecond  // before an order is sent again
	retryMost    = 800 * time.Millisecond // below a worker's lease, so that a recovered worker is heard before it lapses
	holdWait     = time.Second            // how long a worker may wait for an end before it answers
	driftDivisor = 50                     // workers' clocks are at most a fiftieth slow
)

// Options says what a Loop works on.
type Options struct {
	Table    *workflow.Table
	Calls    call.Functions
	Commit   func(context.Context, *wire.WorkflowCommand) (*workflow.Result, error)
	Leads    func() bool          // whether this process may act as the leader right now
	Boot     func() time.Duration // clock that counts suspended time
	Wall     func() time.Time
	Lease    time.Duration // given to workers
	MaxLease time.Duration // longest that any leader can have given
	Metrics  *metrics.Set  // that the loop's counters are added to; nil for none
}

// Loop decides and calls while this replica leads.
// Locks are taken in the order table, session, link.
type Loop struct {
	o        Options
	counters *counters
	wake     chan struct{}

	mu   sync.Mutex // guards what follows; may be taken with the table locked
	runs bool       // whether news are taken in; a replica that does not lead tells of each record too
	news
}

// news is what the state has told of since the loop last looked.
type news struct {
	assigned []*workflow.Task
	closed   []*workflow.Job
	ended    []*workflow.Job
}

// New returns a loop that does nothing until Run.
func New(o Options) *Loop {
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return &Loop{o: o, counters: newCounters(o.Metrics), wake: make(chan struct{}, 1)}
}

// SetTable names the state, whose hooks in turn name the loop.
func (l *Loop) SetTable(t *workflow.Table) { l.o.Table = t }

// Changed has the loop look at the state again.
func (l *Loop) Changed() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Assigned notes that a task was committed to a worker.
func (l *Loop) Assigned(t *workflow.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs {
		l.assigned = append(l.assigned, t)
	}
}

// Closed notes that nothing of a job may go on.
func (l *Loop) Closed(j *workflow.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs {
		l.closed = append(l.closed, j)
	}
}

// Ended notes that a job is completed, failed or cancelled.
func (l *Loop) Ended(j *workflow.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs {
		l.ended = append(l.ended, j)
	}
}

// listen begins or ends to take in news.
func (l *Loop) listen(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs, l.news = on, news{}
}

func (l *Loop) takeNews() news {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.news
	l.news = news{}
	return n
}

// Run works with the given fencing token until ctx ends, and waits for its goroutines.
func (l *Loop) Run(ctx context.Context, fence uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{
		Options: l.o, counters: l.counters, ctx: ctx, fence: fence,
		links: map[string]*link{}, runs: map[runKey]*run{}, failedOn: map[workflow.Name]map[string]struct{}{}, pace: map[string]*pace{}, tails: headroom.New(), firstPace: map[runKey]int{}, images: map[string]int{}, candidates: map[string]*candidate{}, records: newEndRecords(), shortages: map[ask]*shortage{},
	}
	defer s.tasks.Wait()
	l.listen(true)
	defer l.listen(false)
	s.adopt()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		s.work(l.takeNews())
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			s.pause(time.Until(s.nextRound))
		case <-ticker.C:
			s.stopStill()
			s.moveSlowed()
			s.stopLeaving()
			s.summarize()
		}
	}
}

// work does what has come up, and then decides what starts where.
func (s *session) work(n news) {
	s.linkWorkers()
	for _, t := range n.assigned {
		s.track(t, false)
	}
	for _, j := range n.closed {
		s.stopJob(j)
	}
	for _, j := range n.ended {
		s.noteEnd(j)
	}
	if !s.place() {
		s.pause(commitRetry)
	}
}

// session is one leadership.
type session struct {
	Options
	*counters
	ctx           context.Context
	fence         uint64
	summaryAt     time.Duration                    // boot clock, of the next summary; the loop alone uses it
	placings      int                              // rounds that had something to place; the loop alone uses it
	candidates    map[string]*candidate            // by worker; the loop alone uses it
	shortages     map[ask]*shortage                // the loop alone uses it
	offers        []offer                          // of the step that is placed, used again for the next; the loop alone uses it
	done          effort                           // since the last summary
	nextRound     time.Time                        // before which nothing more is placed; the loop alone uses it
	lastingSince  map[*workflow.Step]time.Duration // boot clock, since when steps that last have had waiting tasks; the loop alone uses it
	workerChanges uint64                           // up to which links follow the table; the loop alone uses it
	records       *endRecords
	tasks         group.Group

	mu        sync.Mutex // guards what follows
	links     map[string]*link
	runs      map[runKey]*run
	failedOn  map[workflow.Name]map[string]struct{} // workers that failed a task
	pace      map[string]*pace                      // of work, by queue
	tails     *headroom.Table
	firstPace map[runKey]int // of runs that have not started
	images    map[string]int // numbers of images in costs
}

// adopt takes over what earlier leaders committed.
func (s *session) adopt() {
	var tasks []*workflow.Task
	s.Table.View(func(t *workflow.Tables) {
		for _, w := range t.Workers {
			for task := range w.Tasks {
				tasks = append(tasks, task)
			}
		}
	})
	event.RunsAdopted.Info("runs", len(tasks), "fence", s.fence)
	s.linkWorkers()
	for _, task := range tasks {
		s.track(task, true)
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

// live says whether orders may be sent right now.
func (s *session) live() bool {
	return s.ctx.Err() == nil && s.Leads()
}

// leadGap is how often a leader that its quorum has not confirmed in time looks whether it has by now; a fifth of a tick.
const leadGap = 10 * time.Millisecond

// awaitLive waits until orders may be sent, and returns false once ctx has ended.
func (s *session) awaitLive(ctx context.Context) bool {
	for ctx.Err() == nil {
		if s.Leads() {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(leadGap):
		}
	}
	return false
}

// commitSoon has a command committed, again and again until it is or the leadership ends.
func (s *session) commitSoon(c *wire.WorkflowCommand) bool {
	for s.ctx.Err() == nil {
		began := time.Now()
		_, err := s.Commit(s.ctx, c)
		since(s.commit, began)
		if err == nil {
			return true
		}
		event.RecordNotCommitted.Error(err, "ends", len(c.GetEnds()), "workers", len(c.GetWorkers()))
		s.pause(commitRetry)
	}
	return false
}

// linkWorkers begins to call the workers that are new and drops those that are gone.
func (s *session) linkWorkers() {
	var current map[string]*wire.CalledWorker
	s.Table.View(func(t *workflow.Tables) {
		if t.WorkerChanges == s.workerChanges {
			return
		}
		s.workerChanges = t.WorkerChanges
		current = map[string]*wire.CalledWorker{}
		for id, w := range t.Workers {
			current[id] = w.CalledWorker
		}
	})
	if current == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.links {
		if w := current[id]; w == nil || w.GetBorn() != l.worker.GetBorn() {
			l.cancel()
			delete(s.links, id)
		}
	}
	for id, w := range current {
		if l := s.links[id]; l != nil {
			l.setWorker(w)
			continue
		}
		l := newLink(s, w)
		s.links[id] = l
		s.tasks.Go(l.run)
	}
}
