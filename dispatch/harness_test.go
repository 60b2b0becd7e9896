package dispatch_test

import (
	"context"
	"errors"
	"fmt"
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
	"gotest.tools/v3/assert"
)

const (
	commitDelay = 20 * time.Millisecond // two syncs and a round trip
	lease       = 4 * time.Second
	longest     = 6 * time.Second
	pool        = "pool"
)

var errNoAnswer = errors.New("no answer")

// bench is a leader with its table, and workers that are called, in virtual time.
type bench struct {
	t       *testing.T
	table   *workflow.Table
	loop    *dispatch.Loop
	began   time.Time
	workers map[string]*worker
	cancel  context.CancelFunc
	ended   chan struct{}

	mu      sync.Mutex // guards what follows, and the workers
	leads   bool       // whether a quorum confirms the leader
	running map[workflow.Name]int
	ran     []string // every run that began, in order
	twice   []string // tasks that ran twice at once
	records int      // committed, with ends in them

	metrics      *metrics.Set // of loops made from now on, nil for none
	slowTakeover atomic.Int64 // nanoseconds that a new leader's clock has moved on once it has looked at it; no lock is taken for a clock that is read under all others
}

// worker is one worker that is called.
type worker struct {
	b      *bench
	record *wire.CalledWorker
	runs   map[workflow.Name]*fakeRun
	ended  []call.Ended
	number int64
	fence  uint64
	lease  time.Time
	barred map[workflow.Name]int32

	silent bool          // answers nothing and carries out nothing
	late   time.Duration // carries out starts so much later, without an answer
	fails  bool          // fails all that it starts
	tail   func(name workflow.Name) float64
	asked  []call.Hold // while it was silent
}

type fakeRun struct {
	number  int32
	begun   time.Time
	pace    int
	percent int
	timer   *time.Timer
}

// newBench returns a leader with workers of one size, and queues for short, lasting and filling tasks.
func newBench(t *testing.T, workers int, size *wire.Size) *bench {
	b := &bench{t: t, began: time.Now(), workers: map[string]*worker{}, running: map[workflow.Name]int{}, leads: true}
	b.loop = b.newLoop()
	b.table = workflow.New(workflow.Options{
		Changed:  func() { b.loop.Changed() },
		Assigned: func(t *workflow.Task) { b.loop.Assigned(t) },
		Closed:   func(j *workflow.Job) { b.loop.Closed(j) },
		Ended:    func(j *workflow.Job) { b.loop.Ended(j) },
	})
	b.loop.SetTable(b.table)
	for i := range workers {
		b.addWorker(fmt.Sprintf("w%d", i), size)
	}
	b.apply(&wire.WorkflowCommand{Queues: &wire.QueueSet{Version: 1, Queues: []*wire.Queue{
		{Name: "short", Host: "h", PathPrefix: "/short/", Pool: pool, MaxAttempts: 3, Stretch: 1.5, LatencyMs: 250},
		{Name: "lasting", Host: "h", PathPrefix: "/lasting/", Pool: pool, MaxAttempts: 2, Stretch: 2, LatencyMs: 2500},
		{Name: "filling", Host: "h", PathPrefix: "/filling/", Pool: pool, Priority: 2, MaxAttempts: 3, Stretch: 2, LatencyMs: 1000},
	}}})
	return b
}

func (b *bench) newLoop() *dispatch.Loop {
	looks := &atomic.Int64{}
	return dispatch.New(dispatch.Options{
		Calls:  call.Functions{Start: b.start, Stop: b.stop, Hold: b.hold, Pace: b.pace},
		Commit: b.commit,
		Leads:  b.isLeader,
		Boot: func() time.Duration {
			now := time.Since(b.began) + time.Hour
			if looks.Add(1) > 1 {
				now += time.Duration(b.slowTakeover.Load())
			}
			return now
		},
		Wall:     time.Now,
		Lease:    lease,
		MaxLease: longest,
		Metrics:  b.metrics,
	})
}

func (b *bench) isLeader() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leads
}

func (b *bench) addWorker(id string, size *wire.Size) *worker {
	w := &worker{b: b, runs: map[workflow.Name]*fakeRun{}, barred: map[workflow.Name]int32{}}
	w.record = &wire.CalledWorker{Id: id, Born: 1, Address: id + ":1", Pool: pool, Domain: "d", Capacity: size}
	b.workers[id] = w
	b.apply(&wire.WorkflowCommand{Workers: []*wire.CalledWorker{w.record}})
	return w
}

// lead runs the loop as a leader until the next one or the end.
func (b *bench) lead(fence uint64) {
	b.depose()
	if fence > 1 {
		b.loop = b.newLoop()
		b.loop.SetTable(b.table)
	}
	ctx, cancel := context.WithCancel(b.t.Context())
	b.cancel, b.ended = cancel, make(chan struct{})
	loop, ended := b.loop, b.ended
	go func() {
		defer close(ended)
		loop.Run(ctx, fence)
	}()
}

func (b *bench) depose() {
	if b.cancel == nil {
		return
	}
	b.cancel()
	<-b.ended
	b.cancel = nil
}

func (b *bench) apply(c *wire.WorkflowCommand) *workflow.Result {
	return b.table.Apply(time.Now().UnixMilli(), c)
}

func (b *bench) commit(ctx context.Context, c *wire.WorkflowCommand) (*workflow.Result, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(commitDelay):
	}
	if len(c.GetEnds()) > 0 {
		b.set(func() { b.records++ })
	}
	return b.apply(c), nil
}

func (b *bench) submit(queue, id string, steps ...*wire.Step) {
	result := b.apply(&wire.WorkflowCommand{Submit: &wire.Workflow{Id: id, Queue: queue, Payload: "p", Steps: steps}})
	assert.Equal(b.t, result.Answer, wire.WorkflowAnswer_WORKFLOW_ANSWER_OK, result.Reason)
}

func (b *bench) state(id string) string {
	state := ""
	b.table.View(func(t *workflow.Tables) { state = t.Jobs[id].State() })
	return state
}

// begins counts the runs that have begun of a task.
func (b *bench) begins(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, r := range b.ran {
		if r == name {
			count++
		}
	}
	return count
}

func (b *bench) runningOf(id string) int {
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

func (b *bench) set(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// together has the leader see several submissions at once.
func (b *bench) together(submit func()) {
	b.set(func() { b.leads = false })
	submit()
	b.set(func() { b.leads = true })
}

func (b *bench) noneTwice() {
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Equal(b.t, len(b.twice), 0, "%v", b.twice)
}

// reach waits out the way to the worker and back, and says whether an answer comes.
func (b *bench) reach(ctx context.Context, w *wire.CalledWorker) (*worker, error) {
	target := b.workers[w.GetId()]
	time.Sleep(time.Millisecond)
	b.mu.Lock()
	silent := target.silent
	b.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	return target, nil
}

func (w *worker) clock() int64 { return time.Since(w.b.began).Milliseconds() + 1000 }

func (w *worker) refuses(fence uint64) bool {
	if fence < w.fence {
		return true
	}
	w.fence = fence
	return false
}

func (w *worker) extend(deadlineMS int64) {
	deadline := w.b.began.Add(time.Duration(min(deadlineMS, w.clock()+longest.Milliseconds())-1000) * time.Millisecond)
	if deadline.After(w.lease) {
		w.lease = deadline
		time.AfterFunc(time.Until(deadline), w.lapse)
	}
}

func (w *worker) lapse() {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	if time.Now().Before(w.lease) {
		return
	}
	for name := range w.runs {
		w.end(name, wire.RunOutcome_RUN_OUTCOME_LAPSED)
	}
}

func (w *worker) end(name workflow.Name, outcome wire.RunOutcome) {
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
	w.ended = append(w.ended, call.Ended{Number: w.number, Task: name, Run: r.number, Outcome: outcome})
}

func (b *bench) start(ctx context.Context, w *wire.CalledWorker, s *call.Start) (*call.Answer, error) {
	target, err := b.reach(ctx, w)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if target.late > 0 {
		order := *s
		time.AfterFunc(target.late, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			target.carryOut(&order)
		})
		b.mu.Unlock()
		<-ctx.Done()
		b.mu.Lock()
		return nil, errNoAnswer
	}
	return &call.Answer{ClockMS: target.clock(), Refusal: target.carryOut(s)}, nil
}

// carryOut does what a worker does with a start, by the platform's rules.
func (w *worker) carryOut(s *call.Start) call.Refusal {
	b := w.b
	switch {
	case w.refuses(s.Fence):
		return call.Deposed
	case w.clock() > s.DeadlineMS:
		return call.TooLate
	case w.runs[s.Task] != nil && w.runs[s.Task].number == s.Run:
		return call.Accepted
	case w.barred[s.Task] >= s.Run || w.runs[s.Task] != nil:
		return call.Overtaken
	}
	w.extend(s.DeadlineMS)
	r := &fakeRun{number: s.Run, begun: time.Now(), pace: 100}
	w.runs[s.Task] = r
	b.ran = append(b.ran, s.Task.String())
	if b.running[s.Task]++; b.running[s.Task] > 1 {
		b.twice = append(b.twice, s.Task.String())
	}
	if lasts := b.lengthOf(s.Task); lasts > 0 {
		outcome := wire.RunOutcome_RUN_OUTCOME_DONE
		if w.fails {
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

// lengthOf returns how long a task works, 0 for one that lasts.
func (b *bench) lengthOf(name workflow.Name) time.Duration {
	var spec *wire.Step
	b.table.View(func(t *workflow.Tables) { spec = t.Task(name).Step.Spec })
	if spec.GetLasting() {
		return 0
	}
	return time.Duration(spec.GetExpectedMs()) * time.Millisecond
}

func (b *bench) stop(ctx context.Context, w *wire.CalledWorker, s *call.Stop) (*call.Answer, error) {
	target, err := b.reach(ctx, w)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if target.refuses(s.Fence) {
		return &call.Answer{Refusal: call.Deposed}, nil
	}
	target.barred[s.Task] = max(target.barred[s.Task], s.Run)
	if r := target.runs[s.Task]; r != nil && r.number <= s.Run {
		target.end(s.Task, wire.RunOutcome_RUN_OUTCOME_STOPPED)
	}
	return &call.Answer{ClockMS: target.clock()}, nil
}

func (b *bench) pace(ctx context.Context, w *wire.CalledWorker, p *call.Pace) (*call.Answer, error) {
	target, err := b.reach(ctx, w)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := target.runs[p.Task]; r != nil {
		r.pace = p.Percent
	}
	return &call.Answer{ClockMS: target.clock()}, nil
}

// holdLook is how often a waiting hold looks for an end.
const holdLook = 5 * time.Millisecond

func (b *bench) hold(ctx context.Context, w *wire.CalledWorker, h *call.Hold) (*call.Listing, error) {
	b.set(func() {
		if target := b.workers[w.GetId()]; target.silent {
			target.asked = append(target.asked, *h)
		}
	})
	target, err := b.reach(ctx, w)
	if err != nil {
		return nil, err
	}
	until := time.Now().Add(h.Wait)
	b.mu.Lock()
	defer b.mu.Unlock()
	if target.refuses(h.Fence) {
		return &call.Listing{Answer: call.Answer{Refusal: call.Deposed}}, nil
	}
	if h.DeadlineMS > 0 {
		target.extend(h.DeadlineMS)
	}
	target.forget(h.Noted)
	for len(target.ended) == 0 && time.Now().Before(until) {
		b.mu.Unlock()
		time.Sleep(holdLook)
		b.mu.Lock()
	}
	if target.silent {
		return nil, errNoAnswer
	}
	return target.list(), nil
}

func (w *worker) forget(noted int64) {
	for len(w.ended) > 0 && w.ended[0].Number <= noted {
		w.ended = w.ended[1:]
	}
}

func (w *worker) list() *call.Listing {
	l := &call.Listing{Answer: call.Answer{ClockMS: w.clock()}, Ended: append([]call.Ended(nil), w.ended...)}
	for name, r := range w.runs {
		running := call.Running{Task: name, Run: r.number, Percent: w.percent(name, r)}
		if w.tail != nil {
			running.Figure = w.tail(name)
		}
		l.Running = append(l.Running, running)
	}
	return l
}

func (w *worker) percent(name workflow.Name, r *fakeRun) int {
	if w.b.lengthOf(name) == 0 {
		return 100
	}
	if r.pace > 0 {
		r.percent = int(min(99, 100*time.Since(r.begun)/w.b.lengthOf(name)))
	}
	return r.percent
}

// inBench runs a test in virtual time.
func inBench(t *testing.T, workers int, size *wire.Size, test func(*bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, workers, size)
		b.lead(1)
		defer b.depose()
		time.Sleep(200 * time.Millisecond)
		test(b)
		b.noneTwice()
	})
}
