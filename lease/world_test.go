package lease_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"daisyswitch/lease"
	"daisyswitch/state"
	"daisyswitch/task"
	"daisyswitch/wire"
)

const (
	leaseLength    = 4 * time.Second
	driftPPM       = 100_000 // large, so that code that ignores clock drift fails
	pollInterval   = 100 * time.Millisecond
	replyTimeout   = time.Second
	domainOutGrace = 3 * time.Second
)

// simulation models control, the workers and the network between them in virtual time.
type simulation struct {
	now           time.Duration // true time
	queue         []timedCall   // in order of time
	rng           *rand.Rand
	log           []*wire.Command
	replicas      []*replica
	leader        int
	term          int
	slowUntil     time.Duration // until then most messages are delayed
	workers       []*fakeWorker
	lostOfTwo     map[string]int // by worker, how many of two reports are lost; if any, all answers are lost
	outSince      map[string]time.Duration
	runningOn     map[string]string // worker that executes a batch or service task, by job and index
	executed      map[string]bool   // tasks that have ever executed, by job and index
	started       map[state.Ref]bool
	violations    []string
	noDisturbance bool // no new jobs, cancellations or evictions
	steady        bool // as noDisturbance, but with new jobs, tasks that never end and a fast network
}

type timedCall struct {
	at time.Duration
	do func()
}

// runAfter schedules a call after those that are already scheduled for the same time.
func (w *simulation) runAfter(d time.Duration, do func()) {
	at, _ := slices.BinarySearchFunc(w.queue, w.now+d, func(m timedCall, t time.Duration) int {
		return cmp.Or(cmp.Compare(m.at, t), -1)
	})
	w.queue = slices.Insert(w.queue, at, timedCall{w.now + d, do})
}

func (w *simulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && len(w.violations) == 0 {
		m := w.queue[0]
		w.queue = w.queue[1:]
		w.now = m.at
		m.do()
	}
	w.now = until
}

func (w *simulation) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: %s", w.now, fmt.Sprintf(format, args...)))
}

// clock is the local clock of a process, with an offset and a rate error within the bound.
type clock struct {
	offset   time.Duration
	driftPPM int64
}

func (c clock) read(now time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(c.offset + now + now*time.Duration(c.driftPPM)/1_000_000)
}

func (w *simulation) clock() clock {
	return clock{time.Duration(w.rng.Int64N(int64(time.Hour))), (w.rng.Int64N(3) - 1) * driftPPM}
}

// replica is one control process. While it does not lead, its state lags behind the log.
type replica struct {
	clock
	machine *state.Machine
	table   *lease.Table
	applied int
	changed []*wire.WorkerRecord
	waiting bool // for the outcome of a proposal
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), leader: -1, lostOfTwo: map[string]int{}, outSince: map[string]time.Duration{},
		runningOn: map[string]string{}, executed: map[string]bool{}, started: map[state.Ref]bool{},
	}
	for range 2 {
		r := &replica{clock: w.clock(), table: lease.New(lease.Options{Length: leaseLength, DriftPPM: driftPPM})}
		r.machine = state.New(state.Options{WorkerChanged: func(c *wire.WorkerRecord) { r.changed = append(r.changed, c) }})
		w.replicas = append(w.replicas, r)
	}
	for i, domain := range []string{"north", "north", "south"} {
		f := &fakeWorker{simulation: w, clock: w.clock(), name: fmt.Sprintf("w%d", i), domain: domain}
		f.restart()
		w.workers = append(w.workers, f)
		w.runAfter(time.Duration(i)*10*time.Millisecond, f.poll)
		w.runAfter(0, f.advanceTasks)
	}
	w.elect(0)
	w.tick()
	return w
}

func (w *simulation) elect(i int) {
	w.leader = i
	w.term++
	r := w.replicas[i]
	for ; r.applied < len(w.log); r.applied++ {
		r.machine.Apply(uint64(r.applied+1), w.log[r.applied])
	}
	r.table.Lead(r.read(w.now))
	r.changed = nil
	r.machine.EachWorker(func(c *wire.WorkerRecord) { r.changed = append(r.changed, c) })
}

// propose commits a command if r still leads.
func (w *simulation) propose(r *replica, c *wire.Command) *wire.CommandResult {
	if w.replicas[w.leader] != r {
		return nil
	}
	w.log = append(w.log, c)
	r.applied++
	return r.machine.Apply(uint64(r.applied), c)
}

// tick runs the scheduling loop of every replica, deposed or not: it records lost workers, then starts and evicts tasks at random.
func (w *simulation) tick() {
	for _, r := range w.replicas {
		if !r.waiting {
			w.schedule(r)
		}
	}
	w.runAfter(100*time.Millisecond, w.tick)
}

func (w *simulation) schedule(r *replica) {
	for _, c := range r.changed {
		r.table.SetWorker(c)
	}
	r.changed = nil
	c := w.decide(r)
	for _, name := range r.table.Expired(r.read(w.now)) {
		if record := r.machine.Worker(name); record != nil {
			c.Workers = append(c.Workers, lease.Gone(record))
		}
	}
	r.waiting = true
	term := w.term
	w.runAfter(w.delay()/8, func() {
		r.waiting = false
		if term == w.term {
			w.propose(r, c)
		}
	})
}

func (w *simulation) decide(r *replica) *wire.Command {
	c := &wire.Command{}
	r.machine.EachTask(func(j *wire.Job, t *wire.Task) {
		if !w.noDisturbance && !w.steady && w.rng.IntN(2000) == 0 {
			c.Cancel = &wire.CancelJob{Job: j.Id}
		}
		switch {
		case t.State == wire.TaskState_TASK_STATE_QUEUED, t.State == wire.TaskState_TASK_STATE_CHECKPOINTED:
			f := w.workers[w.rng.IntN(len(w.workers))]
			c.Starts = append(c.Starts, &wire.Start{Job: j.Id, Index: t.Index, Attempt: t.Attempt + 1, Worker: f.name, Size: j.Size})
		case w.noDisturbance || w.steady:
		case t.State == wire.TaskState_TASK_STATE_STARTING && w.rng.IntN(12) == 0, t.Worker != "" && w.rng.IntN(80) == 0:
			c.Events = append(c.Events, &wire.TaskEvent{Task: task.RefOf(t).Wire(), Kind: wire.TaskEventKind_TASK_EVENT_KIND_STOPPING})
		}
	})
	return c
}

// deliver passes a report to a replica and through the stages of a control process, with a delay before each.
func (w *simulation) deliver(i int, r *wire.WorkerReport, back func(*wire.WorkerReply)) {
	c := w.replicas[i]
	if w.leader != i {
		return
	}
	name := r.Worker.Name
	outcome := c.table.Receive(c.read(w.now), r, c.machine.OnWorker(name), c.machine.Worker(name))
	if outcome.Refusal != "" {
		back(&wire.WorkerReply{Refusal: outcome.Refusal})
		return
	}
	term := w.term
	w.runAfter(w.delay(), func() {
		command := &wire.Command{Events: outcome.Events}
		if outcome.Worker != nil {
			command.Workers = []*wire.WorkerRecord{outcome.Worker}
		}
		if term != w.term || w.propose(c, command) == nil {
			return
		}
		w.runAfter(w.delay(), func() {
			out := func(domain string) bool {
				return slices.ContainsFunc(c.machine.Configuration().Domains, func(d *wire.Domain) bool { return d.Name == domain && d.Out })
			}
			back(c.table.Answer(c.read(w.now), r, c.machine.OnWorker(name), out, nil))
		})
	})
}

// delay returns a random network delay, mostly short and sometimes longer than a lease.
func (w *simulation) delay() time.Duration {
	kind := w.rng.IntN(40)
	if w.steady {
		kind = 40
	}
	if w.now < w.slowUntil {
		kind /= 10
	}
	switch kind {
	case 0:
		return time.Duration(w.rng.Int64N(int64(2 * leaseLength)))
	case 1, 2, 3, 4:
		return time.Duration(w.rng.Int64N(int64(replyTimeout)))
	}
	return time.Duration(w.rng.Int64N(int64(5 * time.Millisecond)))
}

// fakeWorker simulates a worker: it executes orders under its lease and keeps ended attempts until it is ordered to forget them.
type fakeWorker struct {
	clock
	simulation  *simulation
	name        string
	domain      string
	incarnation int
	sequence    uint64
	leaseEnd    time.Time // end, by its own clock
	frozenUntil time.Duration
	tasks       map[state.Ref]*execution
}

type execution struct {
	report  *wire.TaskReport
	service bool
}

func (f *fakeWorker) restart() {
	for ref, e := range f.tasks {
		f.endExecution(ref, e, wire.TaskEventKind_TASK_EVENT_KIND_STOPPED)
	}
	f.incarnation++
	f.sequence = 0
	f.leaseEnd = time.Time{}
	f.tasks = map[state.Ref]*execution{}
}

// poll sends a report and schedules the next one 200 ms later on average; an answer that takes longer than a second is dropped.
func (f *fakeWorker) poll() {
	w := f.simulation
	if w.now < f.frozenUntil {
		w.runAfter(f.frozenUntil-w.now, f.poll)
		return
	}
	f.stopIfExpired()
	f.sequence++
	r := &wire.WorkerReport{Sequence: f.sequence, Worker: &wire.WorkerRecord{
		Name: f.name, Domain: f.domain, Incarnation: fmt.Sprint(f.incarnation), Capacity: &wire.Size{MilliCpu: 4000, MemoryMib: 4},
	}}
	for _, ref := range f.sortedAttempts() {
		e := f.tasks[ref].report
		r.Tasks = append(r.Tasks, &wire.TaskReport{Task: e.Task, Phase: e.Phase, Checkpoint: e.Checkpoint})
	}
	sent, answered := w.now, false
	local := f.read(w.now)
	for range 1 + w.rng.IntN(8)/7 { // sometimes twice
		if w.rng.IntN(2) < w.lostOfTwo[f.name] {
			continue
		}
		w.runAfter(w.delay(), func() {
			w.deliver(w.leader, r, func(reply *wire.WorkerReply) {
				w.runAfter(w.delay(), func() {
					late := f.sequence != r.Sequence || w.now < f.frozenUntil || w.now-sent > replyTimeout || w.lostOfTwo[f.name] > 0
					if answered || late || r.Worker.Incarnation != fmt.Sprint(f.incarnation) {
						return
					}
					answered = true
					f.applyReply(local, reply)
				})
			})
		})
	}
	w.runAfter(pollInterval+time.Duration(w.rng.Int64N(int64(2*pollInterval))), f.poll)
}

func (f *fakeWorker) sortedAttempts() []state.Ref {
	return slices.SortedFunc(maps.Keys(f.tasks), func(a, b state.Ref) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
}

func (f *fakeWorker) applyReply(sent time.Time, reply *wire.WorkerReply) {
	f.stopIfExpired()
	f.leaseEnd = sent.Add(time.Duration(reply.LeaseMs) * time.Millisecond)
	if reply.LeaseMs == 0 {
		f.leaseEnd = f.read(f.simulation.now).Add(-1)
	}
	f.stopIfExpired()
	remaining := f.leaseEnd.Sub(f.read(f.simulation.now))
	f.simulation.runAfter(max(0, remaining)*1_000_000/time.Duration(1_000_000+f.driftPPM)+time.Microsecond, f.stopIfExpired)
	for _, o := range reply.Orders {
		ref := task.FromWire(o.Task)
		e := f.tasks[ref]
		switch {
		case o.Kind == wire.OrderKind_ORDER_KIND_START && e == nil:
			f.start(ref, o)
		case o.Kind == wire.OrderKind_ORDER_KIND_FORGET && e != nil && e.report.Phase != wire.TaskEventKind_TASK_EVENT_KIND_RUNNING:
			delete(f.tasks, ref)
		case o.Kind == wire.OrderKind_ORDER_KIND_STOP && e == nil:
			f.tasks[ref] = &execution{report: &wire.TaskReport{Task: o.Task, Phase: wire.TaskEventKind_TASK_EVENT_KIND_STOPPED}}
		case o.Kind == wire.OrderKind_ORDER_KIND_STOP, o.Kind == wire.OrderKind_ORDER_KIND_CHECKPOINT:
			f.endExecution(ref, e, wire.TaskEventKind_TASK_EVENT_KIND_STOPPED)
		}
	}
}

func (f *fakeWorker) start(ref state.Ref, o *wire.Order) {
	w := f.simulation
	k := fmt.Sprintf("%s/%d", ref.Job, ref.Index)
	if since, out := w.outSince[f.domain]; out && w.now > since+domainOutGrace {
		w.recordViolation("%v starts on %s, whose domain has been out since %v", ref, f.name, since)
	}
	if w.runningOn[k] != "" {
		w.recordViolation("%v starts on %s while it executes on %s", ref, f.name, w.runningOn[k])
	}
	if w.started[ref] {
		w.recordViolation("%v starts a second time, on %s", ref, f.name)
	}
	if acceptedCheckpoint := w.acceptedCheckpoint(ref); acceptedCheckpoint != o.Checkpoint {
		w.recordViolation("%v resumes from checkpoint %d, the last accepted is %d", ref, o.Checkpoint, acceptedCheckpoint)
	}
	w.runningOn[k] = f.name
	w.executed[k] = true
	w.started[ref] = true
	f.tasks[ref] = &execution{
		service: o.ClassKind == wire.ClassKind_CLASS_KIND_SERVICE,
		report:  &wire.TaskReport{Task: o.Task, Phase: wire.TaskEventKind_TASK_EVENT_KIND_RUNNING, Checkpoint: o.Checkpoint},
	}
}

// acceptedCheckpoint returns the last checkpoint of a task that the leader's state has accepted.
func (w *simulation) acceptedCheckpoint(ref state.Ref) uint64 {
	for _, t := range w.replicas[w.leader].machine.Job(ref.Job).Tasks {
		if t.Index == ref.Index {
			return t.Checkpoint
		}
	}
	return 0
}

func (f *fakeWorker) endExecution(ref state.Ref, e *execution, phase wire.TaskEventKind) {
	if e.report.Phase == wire.TaskEventKind_TASK_EVENT_KIND_RUNNING {
		delete(f.simulation.runningOn, fmt.Sprintf("%s/%d", ref.Job, ref.Index))
		e.report.Phase = phase
	}
}

// stopIfExpired stops batch tasks once the lease has expired. It is called before any other action of a worker.
func (f *fakeWorker) stopIfExpired() {
	if f.read(f.simulation.now).Before(f.leaseEnd) {
		return
	}
	for ref, e := range f.tasks {
		if !e.service {
			f.endExecution(ref, e, wire.TaskEventKind_TASK_EVENT_KIND_STOPPED)
		}
	}
}

// advanceTasks makes tasks checkpoint, complete and fail at random. The tasks of a frozen worker count as executing no longer than its lease.
func (f *fakeWorker) advanceTasks() {
	f.stopIfExpired()
	f.simulation.runAfter(50*time.Millisecond, f.advanceTasks)
	if f.simulation.now < f.frozenUntil || f.simulation.steady {
		return
	}
	for _, ref := range f.sortedAttempts() {
		e := f.tasks[ref]
		if e.service || e.report.Phase != wire.TaskEventKind_TASK_EVENT_KIND_RUNNING {
			continue
		}
		switch f.simulation.rng.IntN(250) {
		case 0:
			f.endExecution(ref, e, wire.TaskEventKind_TASK_EVENT_KIND_DONE)
		case 1:
			f.endExecution(ref, e, wire.TaskEventKind_TASK_EVENT_KIND_FAILED)
		case 2, 3, 4, 5, 6, 7:
			e.report.Checkpoint++
		}
	}
}
