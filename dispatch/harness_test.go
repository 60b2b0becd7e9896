package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/call"
	"daisyswitch/dispatch"
	"daisyswitch/wire"
	"daisyswitch/workflow"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

const (
	maxRecordBytes = 2 << 20
	commitDelay    = 20 * time.Millisecond // two syncs and a round trip
	lease          = 4 * time.Second
	maxLease       = 6 * time.Second
	pool           = "pool"
)

var (
	errNoAnswer   = errors.New("no answer")
	errNotLeading = errors.New("another replica leads")
)

// testBench is a leader with its table and fake workers, in virtual time.
type testBench struct {
	t       *testing.T
	table   *workflow.Table
	loop    atomic.Pointer[dispatch.Loop] // the one created last
	began   time.Time
	workers map[string]*fakeWorker
	at      map[string]*fakeWorker // by address
	cancel  context.CancelFunc
	ended   chan struct{}
	current *atomic.Bool // whether the loop created last may commit

	mu             sync.Mutex // guards the fields below, and the workers
	confirmed      bool       // whether a quorum confirms the leader
	running        map[workflow.Name]int
	doneRuns       map[workflow.Name]int // runs that ended as done
	begunRuns      []string              // every run that began, in order
	overlapping    []string              // tasks with two runs at the same time
	doneEnds       map[workflow.Name][]*doneEnd
	startedAgain   []startAfterDone // starts of tasks that had a done run
	endRecords     int              // committed records that contain ends
	endsDelay      time.Duration    // by which records that contain ends are committed later than others
	departureDelay time.Duration    // by which records of workers are committed later than others

	lookahead     bool         // of loops created from now on
	metrics       *metrics.Set // for loops created from now on, nil for none
	refusedStarts atomic.Int64 // starts that were proposed and refused when their record was applied
	takeoverDelay atomic.Int64 // nanoseconds by which a new leader's clock advances after its first reading; atomic, since the clock is read under all other locks
}

// doneEnd is the end of a run that was done, as its worker lists it.
type doneEnd struct {
	worker       string
	number       int64
	acknowledged bool // by a hold, while the worker's lease held
	lost         bool // the worker's lease or its incarnation has ended, so that it can't be acknowledged any more
}

// startAfterDone is a start of a task after one of its runs was done.
type startAfterDone struct {
	name   workflow.Name
	number int32
	worker string
	end    *doneEnd
}

// fakeWorker is a called worker that serves the calls of the loop.
type fakeWorker struct {
	b      *testBench
	record *wire.CalledWorker
	runs   map[workflow.Name]*fakeRun
	ended  []call.Ended
	number int64
	fence  uint64
	lease  time.Time
	barred map[workflow.Name]int32
	born   int64 // of its present incarnation
	began  time.Time

	checkpointBytes    int           // length of the checkpoint in each end
	endsAtATime        int           // most ends in one listing, 0 for all
	stopTime           time.Duration // from a stop to the end of the run
	silent             bool          // answers no calls and carries out nothing
	startDelay         time.Duration // delay after which it carries out a start without answering
	losesHolds         bool          // neither carries out nor answers any hold
	losesStarts        bool          // neither carries out nor answers any start
	refusesConnections bool          // no start can be sent to it
	losesStops         bool          // neither carries out nor answers any stop
	startTransit       time.Duration // by which starts reach it late
	refusesStarts      bool          // answers every start as unhealthy
	refusedStarts      int           // as unhealthy
	hidesClock         bool          // its answers to starts lack its clock
	failsTasks         bool          // fails every run
	slowdown           time.Duration // by which factor runs take longer than estimated, 0 for 1
	tailOf             func(name workflow.Name) float64
	holdsWhileSilent   []call.Hold   // received while it was silent
	holds              int           // received
	acknowledgements   []int64       // numbers in the holds received that acknowledge ends
	holdDelay          time.Duration // by which its answers to holds arrive late
	executesHoldsAfter time.Duration // delay after which it executes a hold without answering
	lostAnswers        int           // answers to holds with ends that get lost from now on
	losesAnswers       bool          // carries out holds without answering
	gone               bool          // its process has ended; orders that arrive afterwards are counted in startsWhenGone
	startsWhenGone     int
}

type fakeRun struct {
	number  int32
	begun   time.Time
	pace    int
	percent int
	timer   *time.Timer
}

// newTestBench returns a leader with workers of one size, and queues for short, lasting and filling tasks.
func newTestBench(t *testing.T, workers int, size *wire.Size) *testBench {
	b := &testBench{t: t, began: time.Now(), workers: map[string]*fakeWorker{}, at: map[string]*fakeWorker{}, running: map[workflow.Name]int{}, doneRuns: map[workflow.Name]int{}, doneEnds: map[workflow.Name][]*doneEnd{}, confirmed: true, current: &atomic.Bool{}}
	b.current.Store(true)
	b.loop.Store(b.newLoop())
	b.table = workflow.New(workflow.Options{
		Changed:  func() { b.loop.Load().Changed() },
		Assigned: func(t *workflow.Task) { b.loop.Load().Assigned(t) },
		Closed:   func(j *workflow.Job) { b.loop.Load().Closed(j) },
		Ended:    func(j *workflow.Job) { b.loop.Load().Ended(j) },
	})
	b.loop.Load().SetTable(b.table)
	for i := range workers {
		b.addWorker(fmt.Sprintf("w%d", i), size)
	}
	b.apply(&wire.WorkflowCommand{Queues: &wire.QueueSet{Version: 1, Queues: []*wire.Queue{
		{Name: "short", Host: "h", PathPrefix: "/short/", Pool: pool, MaxAttempts: 3, Stretch: 1.5, LatencyMs: 250},
		{Name: "patient", Host: "h", PathPrefix: "/patient/", Pool: pool, MaxAttempts: 3, Stretch: 1.5, LatencyMs: 60_000},
		{Name: "lasting", Host: "h", PathPrefix: "/lasting/", Pool: pool, MaxAttempts: 2, Stretch: 2, LatencyMs: 2500},
		{Name: "filling", Host: "h", PathPrefix: "/filling/", Pool: pool, Priority: 2, MaxAttempts: 3, Stretch: 2, LatencyMs: 1000},
	}}})
	return b
}

func (b *testBench) newLoop() *dispatch.Loop {
	looks, current := &atomic.Int64{}, b.current
	return dispatch.New(dispatch.Options{
		Calls: call.Functions{Start: b.start, Stop: b.stop, Hold: b.hold, Pace: b.pace},
		Commit: func(ctx context.Context, c *wire.WorkflowCommand) (*workflow.Result, error) {
			if !current.Load() {
				return nil, errNotLeading
			}
			return b.commit(ctx, c)
		},
		Leads: b.isLeader,
		SinceBoot: func() time.Duration {
			now := time.Since(b.began) + time.Hour
			if looks.Add(1) > 1 {
				now += time.Duration(b.takeoverDelay.Load())
			}
			return now
		},
		Wall:      time.Now,
		Lease:     lease,
		MaxLease:  maxLease,
		Metrics:   b.metrics,
		Lookahead: b.lookahead,
	})
}

func (b *testBench) isLeader() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmed
}

func (b *testBench) newWorker(id string, size *wire.Size) *fakeWorker {
	w := &fakeWorker{b: b, runs: map[workflow.Name]*fakeRun{}, barred: map[workflow.Name]int32{}, born: 1, began: b.began}
	w.record = &wire.CalledWorker{Id: id, Born: 1, Address: id + ":1", Pool: pool, Domain: "d", Capacity: size}
	b.workers[id] = w
	return w
}

func (b *testBench) addWorker(id string, size *wire.Size) *fakeWorker {
	var w *fakeWorker
	b.locked(func() {
		w = b.newWorker(id, size)
		b.at[w.record.GetAddress()] = w
	})
	b.apply(&wire.WorkflowCommand{Workers: []*wire.CalledWorker{w.record}})
	return w
}

// lead runs the loop as the leader until the next call of lead or depose.
func (b *testBench) lead(fence uint64) {
	b.depose()
	if fence > 1 {
		b.loop.Store(b.newLoop())
		b.loop.Load().SetTable(b.table)
	}
	ctx, cancel := context.WithCancel(b.t.Context())
	b.cancel, b.ended = cancel, make(chan struct{})
	loop, ended := b.loop.Load(), b.ended
	go func() {
		defer close(ended)
		loop.Run(ctx, fence)
	}()
}

func (b *testBench) depose() {
	if b.cancel == nil {
		return
	}
	b.cancel()
	<-b.ended
	b.cancel = nil
}

func (b *testBench) apply(c *wire.WorkflowCommand) *workflow.Result {
	return b.table.Apply(time.Now().UnixMilli(), c)
}

func (b *testBench) commit(ctx context.Context, c *wire.WorkflowCommand) (*workflow.Result, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(commitDelay):
	}
	if size := proto.Size(c); size > maxRecordBytes {
		return nil, fmt.Errorf("the record has %d bytes", size)
	}
	if len(c.GetEnds()) > 0 {
		delay := time.Duration(0)
		b.locked(func() { b.endRecords++; delay = b.endsDelay })
		time.Sleep(delay)
	}
	if len(c.GetWorkers()) > 0 {
		delay := time.Duration(0)
		b.locked(func() { delay = b.departureDelay })
		time.Sleep(delay)
	}
	result := b.apply(c)
	for _, started := range result.Starts {
		if !started {
			b.refusedStarts.Add(1)
		}
	}
	return result, nil
}

func (b *testBench) submit(queue, id string, steps ...*wire.Step) {
	result := b.apply(&wire.WorkflowCommand{ByPlace: true, Submit: &wire.Workflow{Id: id, Queue: queue, Host: "h", PathPrefix: "/" + queue + "/", Payload: "p", Steps: steps}})
	assert.Equal(b.t, result.Answer, wire.WorkflowAnswer_WORKFLOW_ANSWER_OK, result.Reason)
}

func (b *testBench) state(id string) string {
	state := ""
	b.table.View(func(t *workflow.Tables) { state = t.Jobs[id].State() })
	return state
}

// runCount counts the runs of a task that have begun.
func (b *testBench) runCount(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, r := range b.begunRuns {
		if r == name {
			count++
		}
	}
	return count
}

func (b *testBench) runningOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for name, n := range b.running {
		if name.Workflow == id {
			count += n
		}
	}
	return count
}

func (b *testBench) locked(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// submitTogether makes several submissions that the leader sees in one round.
func (b *testBench) submitTogether(submit func()) {
	b.locked(func() { b.confirmed = false })
	submit()
	b.locked(func() { b.confirmed = true })
}

func (b *testBench) assertNoOverlap() {
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Equal(b.t, len(b.overlapping), 0, "%v", b.overlapping)
	for _, s := range b.startedAgain {
		assert.Assert(b.t, !s.end.acknowledged, "run %d of %v began on %s after end %d of %s, which was acknowledged, had shown the task as done", s.number, s.name, s.worker, s.end.number, s.end.worker)
	}
}

// recordStart records a start of a task that has been done. The caller holds the bench's mutex.
func (w *fakeWorker) recordStart(name workflow.Name, number int32) {
	for _, end := range w.b.doneEnds[name] {
		w.b.startedAgain = append(w.b.startedAgain, startAfterDone{name: name, number: number, worker: w.record.GetId(), end: end})
	}
}

// loseEnds records that the ends that the worker has listed can't be acknowledged any more. The caller holds the bench's mutex.
func (w *fakeWorker) loseEnds() {
	w.eachDoneEnd(func(e *doneEnd) { e.lost = true })
}

func (w *fakeWorker) eachDoneEnd(visit func(*doneEnd)) {
	for _, ends := range w.b.doneEnds {
		for _, e := range ends {
			if e.worker == w.record.GetId() && !e.lost {
				visit(e)
			}
		}
	}
}

// reachWorker waits for the network delay and returns the worker, or an error if the worker is silent or another one has its address.
func (b *testBench) reachWorker(ctx context.Context, w *wire.CalledWorker) (*fakeWorker, error) {
	time.Sleep(time.Millisecond)
	b.mu.Lock()
	target := b.at[w.GetAddress()]
	silent := target.silent
	b.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return nil, errNoAnswer
	case target.record.GetId() != w.GetId():
		return nil, call.ErrOtherWorker
	}
	return target, nil
}

func (w *fakeWorker) clock() int64 { return time.Since(w.began).Milliseconds() + 1000 }

// restart begins a new incarnation under the same id, which knows nothing of the former. The caller holds the bench's mutex.
func (w *fakeWorker) restart() {
	for _, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
	}
	for name := range w.runs {
		w.b.running[name]--
	}
	w.loseEnds()
	w.runs, w.barred, w.ended = map[workflow.Name]*fakeRun{}, map[workflow.Name]int32{}, nil
	w.number, w.fence, w.lease = 0, 0, time.Time{}
	w.born, w.began, w.silent = w.born+1, time.Now(), false
}

// announceLabel announces the worker with a label. The record that was announced before stays as it is, since the loop reads it.
func (w *fakeWorker) announceLabel(label string) {
	labelled := proto.CloneOf(w.record)
	labelled.Labels = []string{label}
	w.b.locked(func() { w.record = labelled })
	w.announce()
}

// announce commits what the worker says of itself.
func (w *fakeWorker) announce() {
	record := proto.CloneOf(w.record)
	w.b.locked(func() { record.Born += w.born - 1 })
	w.b.apply(&wire.WorkflowCommand{Workers: []*wire.CalledWorker{record}})
}

func (w *fakeWorker) rejectsFence(f call.Fence) bool {
	if f.Token() < w.fence {
		return true
	}
	w.fence = f.Token()
	return false
}

func (w *fakeWorker) extend(deadlineMS int64) {
	deadline := w.began.Add(time.Duration(min(deadlineMS, w.clock()+maxLease.Milliseconds())-1000) * time.Millisecond)
	if deadline.After(w.lease) {
		w.lease = deadline
		time.AfterFunc(time.Until(deadline), w.lapse)
	}
}

func (w *fakeWorker) lapse() {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	if time.Now().Before(w.lease) {
		return
	}
	w.loseEnds()
	for name := range w.runs {
		w.end(name, wire.RunOutcome_RUN_OUTCOME_LAPSED)
	}
}

func (w *fakeWorker) end(name workflow.Name, outcome wire.RunOutcome) {
	r := w.runs[name]
	if r == nil {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, name)
	w.barred[name] = max(w.barred[name], r.number)
	w.b.running[name]--
	w.number++
	if outcome == wire.RunOutcome_RUN_OUTCOME_DONE {
		w.b.doneRuns[name]++
		w.b.doneEnds[name] = append(w.b.doneEnds[name], &doneEnd{worker: w.record.GetId(), number: w.number})
	}
	w.ended = append(w.ended, call.Ended{Number: w.number, Task: name, Run: r.number, Outcome: outcome, Checkpoint: strings.Repeat("x", w.checkpointBytes)})
}

func (b *testBench) start(ctx context.Context, w *wire.CalledWorker, s *call.Start) (*call.Answer, error) {
	b.locked(func() {
		if target := b.at[w.GetAddress()]; target.gone && target.record.GetId() == w.GetId() {
			target.startsWhenGone++
		}
	})
	target, err := b.reachWorker(ctx, w)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if target.refusesConnections {
		return nil, call.ErrNotSent
	}
	if transit := target.startTransit; transit > 0 {
		b.mu.Unlock()
		time.Sleep(transit)
		b.mu.Lock()
	}
	if target.startDelay > 0 {
		order := *s
		time.AfterFunc(target.startDelay, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if !target.gone {
				target.acceptStart(&order)
			}
		})
		b.mu.Unlock()
		<-ctx.Done()
		b.mu.Lock()
		return nil, errNoAnswer
	}
	if target.losesStarts || target.gone { // an ended process executes nothing
		b.mu.Unlock()
		<-ctx.Done()
		b.mu.Lock()
		return nil, errNoAnswer
	}
	if target.refusesStarts {
		target.refusedStarts++
		return &call.Answer{Refusal: call.Unhealthy}, nil
	}
	if target.hidesClock {
		return &call.Answer{Refusal: target.acceptStart(s)}, nil
	}
	return &call.Answer{ClockMS: target.clock(), Refusal: target.acceptStart(s)}, nil
}

// acceptStart processes a start by the platform's rules.
func (w *fakeWorker) acceptStart(s *call.Start) call.Refusal {
	b := w.b
	switch {
	case w.rejectsFence(s.Fence):
		return call.StaleFence
	case w.clock() > s.DeadlineMS:
		return call.DeadlinePassed
	case w.runs[s.Task] != nil && w.runs[s.Task].number == s.Run:
		return call.Accepted
	case w.barred[s.Task] >= s.Run || w.runs[s.Task] != nil:
		w.extend(s.DeadlineMS)
		return call.StaleRun
	}
	w.extend(s.DeadlineMS)
	r := &fakeRun{number: s.Run, begun: time.Now(), pace: 100}
	w.runs[s.Task] = r
	b.begunRuns = append(b.begunRuns, s.Task.String())
	w.recordStart(s.Task, s.Run)
	if b.running[s.Task]++; b.running[s.Task] > 1 {
		b.overlapping = append(b.overlapping, s.Task.String())
	}
	if lasts := w.durationOf(s.Task); lasts > 0 {
		outcome := wire.RunOutcome_RUN_OUTCOME_DONE
		if w.failsTasks {
			outcome = wire.RunOutcome_RUN_OUTCOME_FAILED
		}
		r.timer = time.AfterFunc(lasts, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if w.runs[s.Task] == r {
				w.end(s.Task, outcome)
			}
		})
	}
	return call.Accepted
}

// durationOf returns how long a task runs on the worker, 0 for a lasting one.
func (w *fakeWorker) durationOf(name workflow.Name) time.Duration {
	return w.b.durationOf(name) * max(1, w.slowdown)
}

// durationOf returns the estimated run time of a task, 0 for a lasting one.
func (b *testBench) durationOf(name workflow.Name) time.Duration {
	var spec *wire.Step
	b.table.View(func(t *workflow.Tables) { spec = t.Task(name).Step.Spec })
	if spec.GetLasting() {
		return 0
	}
	return time.Duration(spec.GetExpectedMs()) * time.Millisecond
}

func (b *testBench) stop(ctx context.Context, w *wire.CalledWorker, s *call.Stop) (*call.Answer, error) {
	target, err := b.reachWorker(ctx, w)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if target.losesStops {
		b.mu.Unlock()
		<-ctx.Done()
		b.mu.Lock()
		return nil, errNoAnswer
	}
	if target.rejectsFence(s.Fence) {
		return &call.Answer{Refusal: call.StaleFence}, nil
	}
	target.barred[s.Task] = max(target.barred[s.Task], s.Run)
	if r := target.runs[s.Task]; r != nil && r.number <= s.Run {
		time.AfterFunc(target.stopTime, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if target.runs[s.Task] == r {
				target.end(s.Task, wire.RunOutcome_RUN_OUTCOME_STOPPED)
			}
		})
	}
	return &call.Answer{ClockMS: target.clock()}, nil
}

func (b *testBench) pace(ctx context.Context, w *wire.CalledWorker, p *call.Pace) (*call.Answer, error) {
	target, err := b.reachWorker(ctx, w)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := target.runs[p.Task]; r != nil {
		r.pace = p.SpeedPercent
	}
	return &call.Answer{ClockMS: target.clock()}, nil
}

// holdPollInterval is how often a waiting hold checks for an ended run.
const holdPollInterval = 5 * time.Millisecond

func (b *testBench) hold(ctx context.Context, w *wire.CalledWorker, h *call.Hold) (*call.Listing, error) {
	b.locked(func() {
		target := b.at[w.GetAddress()]
		target.holds++
		if h.Noted > 0 {
			target.acknowledgements = append(target.acknowledgements, h.Noted)
		}
		if target.silent {
			target.holdsWhileSilent = append(target.holdsWhileSilent, *h)
		}
	})
	target, err := b.reachWorker(ctx, w)
	if err != nil {
		return nil, err
	}
	until := time.Now().Add(h.Wait)
	b.mu.Lock()
	defer b.mu.Unlock()
	if target.losesHolds {
		b.mu.Unlock()
		<-ctx.Done()
		b.mu.Lock()
		return nil, errNoAnswer
	}
	if target.executesHoldsAfter > 0 {
		order := *h
		time.AfterFunc(target.executesHoldsAfter, func() { b.locked(func() { target.acceptHold(&order) }) })
		b.mu.Unlock()
		<-ctx.Done()
		b.mu.Lock()
		return nil, errNoAnswer
	}
	born := target.born
	if !target.acceptHold(h) {
		return &call.Listing{Answer: call.Answer{Refusal: call.StaleFence}}, nil
	}
	for len(target.ended) == 0 && time.Now().Before(until) && ctx.Err() == nil {
		b.mu.Unlock()
		time.Sleep(holdPollInterval)
		b.mu.Lock()
	}
	if target.born != born {
		b.mu.Unlock()
		<-ctx.Done() // the connection ended with the incarnation
		b.mu.Lock()
		return nil, errNoAnswer
	}
	if target.silent {
		return nil, errNoAnswer
	}
	if target.record.GetBorn()+target.born-1 != w.GetBorn() {
		return nil, call.ErrRestarted
	}
	listing := target.list()
	if target.losesAnswers {
		b.mu.Unlock()
		<-ctx.Done()
		b.mu.Lock()
		return nil, errNoAnswer
	}
	if target.lostAnswers > 0 && len(listing.Ended) > 0 {
		target.lostAnswers--
		return nil, errNoAnswer
	}
	if delay := target.holdDelay; delay > 0 {
		b.mu.Unlock()
		time.Sleep(delay)
		b.mu.Lock()
	}
	if ctx.Err() != nil {
		return nil, errNoAnswer
	}
	return listing, nil
}

// acceptHold processes a hold by the platform's rules. The caller holds the bench's mutex.
func (w *fakeWorker) acceptHold(h *call.Hold) bool {
	if w.rejectsFence(h.Fence) {
		return false
	}
	if h.DeadlineMS > 0 {
		w.extend(h.DeadlineMS)
	}
	w.dropNoted(h.Noted)
	w.eachDoneEnd(func(e *doneEnd) { e.acknowledged = e.acknowledged || e.number <= h.Noted })
	return true
}

func (w *fakeWorker) dropNoted(noted int64) {
	for len(w.ended) > 0 && w.ended[0].Number <= noted {
		w.ended = w.ended[1:]
	}
}

func (w *fakeWorker) list() *call.Listing {
	l := &call.Listing{Answer: call.Answer{ClockMS: w.clock()}, Ended: append([]call.Ended(nil), w.ended...)}
	if w.endsAtATime > 0 && len(l.Ended) >= w.endsAtATime {
		l.Ended, l.MoreEnds = l.Ended[:w.endsAtATime], true
	}
	for name, r := range w.runs {
		running := call.Running{Task: name, Run: r.number, ProgressPercent: w.percent(name, r)}
		if w.tailOf != nil {
			running.LatencyOrCPU = w.tailOf(name)
		}
		l.Running = append(l.Running, running)
	}
	return l
}

func (w *fakeWorker) percent(name workflow.Name, r *fakeRun) int {
	if w.b.durationOf(name) == 0 {
		return 100
	}
	if r.pace > 0 {
		r.percent = int(min(99, 100*time.Since(r.begun)/w.durationOf(name)))
	}
	return r.percent
}

// runOnBench runs a test in virtual time.
func runOnBench(t *testing.T, workers int, size *wire.Size, test func(*testBench)) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, workers, size)
		b.lead(1)
		defer b.depose()
		time.Sleep(200 * time.Millisecond)
		test(b)
		b.assertNoOverlap()
	})
}
