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
	length   = 4 * time.Second
	driftPPM = 100_000 // large, so that a forgotten bound shows
	pollEach = 100 * time.Millisecond
	giveUp   = time.Second
	permit   = 3 * time.Second
)

// world is control, workers and the network between them in virtual time.
type world struct {
	now      time.Duration // true time
	queue    []moment      // in order of time
	rng      *rand.Rand
	log      []*wire.Command
	replicas []*replica
	leader   int
	term     int
	storm    time.Duration // until when messages are mostly late
	workers  []*fake
	cut      map[string]int // of two reports of a worker, how many are lost; answers are lost if any
	outSince map[string]time.Duration
	live     map[string]string // batch and service tasks that execute, by job and index
	executed map[string]bool   // by job and index, ever
	started  map[state.Ref]bool
	faults   []string
	calm     bool // no new jobs, cancellations or evictions
	steady   bool // and tasks that never end, over a quick network
}

type moment struct {
	at time.Duration
	do func()
}

// after has something happen later, behind what happens at the same time.
func (w *world) after(d time.Duration, do func()) {
	at, _ := slices.BinarySearchFunc(w.queue, w.now+d, func(m moment, t time.Duration) int {
		return cmp.Or(cmp.Compare(m.at, t), -1)
	})
	w.queue = slices.Insert(w.queue, at, moment{w.now + d, do})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && len(w.faults) == 0 {
		m := w.queue[0]
		w.queue = w.queue[1:]
		w.now = m.at
		m.do()
	}
	w.now = until
}

func (w *world) fail(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: %s", w.now, fmt.Sprintf(format, args...)))
}

// clock is a process's own time: an offset and a rate that is off within the bound.
type clock struct {
	offset time.Duration
	ppm    int64
}

func (c clock) read(now time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(c.offset + now + now*time.Duration(c.ppm)/1_000_000)
}

func (w *world) clock() clock {
	return clock{time.Duration(w.rng.Int64N(int64(time.Hour))), (w.rng.Int64N(3) - 1) * driftPPM}
}

// replica is one control process: its state lags behind the log while it does not lead.
type replica struct {
	clock
	machine *state.Machine
	table   *lease.Table
	applied int
	changed []*wire.WorkerRecord
	waiting bool // for a proposal
}

func newWorld(seed uint64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), leader: -1, cut: map[string]int{}, outSince: map[string]time.Duration{},
		live: map[string]string{}, executed: map[string]bool{}, started: map[state.Ref]bool{},
	}
	for range 2 {
		r := &replica{clock: w.clock(), table: lease.New(lease.Options{Length: length, DriftPPM: driftPPM})}
		r.machine = state.New(state.Options{WorkerChanged: func(c *wire.WorkerRecord) { r.changed = append(r.changed, c) }})
		w.replicas = append(w.replicas, r)
	}
	for i, domain := range []string{"north", "north", "south"} {
		f := &fake{world: w, clock: w.clock(), name: fmt.Sprintf("w%d", i), domain: domain}
		f.restart()
		w.workers = append(w.workers, f)
		w.after(time.Duration(i)*10*time.Millisecond, f.poll)
		w.after(0, f.work)
	}
	w.elect(0)
	w.tick()
	return w
}

func (w *world) elect(i int) {
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
func (w *world) propose(r *replica, c *wire.Command) *wire.CommandResult {
	if w.replicas[w.leader] != r {
		return nil
	}
	w.log = append(w.log, c)
	r.applied++
	return r.machine.Apply(uint64(r.applied), c)
}

// tick is the scheduling loop of every replica, deposed or not: lost workers, then starts and evictions at random.
func (w *world) tick() {
	for _, r := range w.replicas {
		if !r.waiting {
			w.schedule(r)
		}
	}
	w.after(100*time.Millisecond, w.tick)
}

func (w *world) schedule(r *replica) {
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
	w.after(w.delay()/8, func() {
		r.waiting = false
		if term == w.term {
			w.propose(r, c)
		}
	})
}

func (w *world) decide(r *replica) *wire.Command {
	c := &wire.Command{}
	r.machine.Each(func(j *wire.Job, t *wire.Task) {
		if !w.calm && !w.steady && w.rng.IntN(2000) == 0 {
			c.Cancel = &wire.CancelJob{Job: j.Id}
		}
		switch {
		case t.State == wire.TaskState_TASK_STATE_QUEUED, t.State == wire.TaskState_TASK_STATE_CHECKPOINTED:
			f := w.workers[w.rng.IntN(len(w.workers))]
			c.Starts = append(c.Starts, &wire.Start{Job: j.Id, Index: t.Index, Attempt: t.Attempt + 1, Worker: f.name, Size: j.Size})
		case w.calm || w.steady:
		case t.State == wire.TaskState_TASK_STATE_STARTING && w.rng.IntN(12) == 0, t.Worker != "" && w.rng.IntN(80) == 0:
			c.Events = append(c.Events, &wire.TaskEvent{Task: task.RefOf(t).Wire(), Kind: wire.TaskEventKind_TASK_EVENT_KIND_STOPPING})
		}
	})
	return c
}

// deliver carries a report to a replica, through the stages of a control process, with a pause before each.
func (w *world) deliver(i int, r *wire.WorkerReport, back func(*wire.WorkerReply)) {
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
	w.after(w.delay(), func() {
		command := &wire.Command{Events: outcome.Events}
		if outcome.Worker != nil {
			command.Workers = []*wire.WorkerRecord{outcome.Worker}
		}
		if term != w.term || w.propose(c, command) == nil {
			return
		}
		w.after(w.delay(), func() {
			out := func(domain string) bool {
				return slices.ContainsFunc(c.machine.Configuration().Domains, func(d *wire.Domain) bool { return d.Name == domain && d.Out })
			}
			back(c.table.Answer(c.read(w.now), r, c.machine.OnWorker(name), out, nil))
		})
	})
}

// delay is mostly short and sometimes longer than a lease.
func (w *world) delay() time.Duration {
	kind := w.rng.IntN(40)
	if w.steady {
		kind = 40
	}
	if w.now < w.storm {
		kind /= 10
	}
	switch kind {
	case 0:
		return time.Duration(w.rng.Int64N(int64(2 * length)))
	case 1, 2, 3, 4:
		return time.Duration(w.rng.Int64N(int64(giveUp)))
	}
	return time.Duration(w.rng.Int64N(int64(5 * time.Millisecond)))
}

// fake is a worker: it runs what it is told under its lease and keeps ended attempts until told to forget them.
type fake struct {
	clock
	world       *world
	name        string
	domain      string
	incarnation int
	sequence    uint64
	lease       time.Time // end, by its own clock
	frozen      time.Duration
	tasks       map[state.Ref]*execution
}

type execution struct {
	report  *wire.TaskReport
	service bool
}

func (f *fake) restart() {
	for ref, e := range f.tasks {
		f.end(ref, e, wire.TaskEventKind_TASK_EVENT_KIND_STOPPED)
	}
	f.incarnation++
	f.sequence = 0
	f.lease = time.Time{}
	f.tasks = map[state.Ref]*execution{}
}

// poll sends a report now and again 200 ms later; an answer later than a second is dropped.
func (f *fake) poll() {
	w := f.world
	if w.now < f.frozen {
		w.after(f.frozen-w.now, f.poll)
		return
	}
	f.guard()
	f.sequence++
	r := &wire.WorkerReport{Sequence: f.sequence, Worker: &wire.WorkerRecord{
		Name: f.name, Domain: f.domain, Incarnation: fmt.Sprint(f.incarnation), Capacity: &wire.Size{MilliCpu: 4000, MemoryMib: 4},
	}}
	for _, ref := range f.refs() {
		e := f.tasks[ref].report
		r.Tasks = append(r.Tasks, &wire.TaskReport{Task: e.Task, Phase: e.Phase, Checkpoint: e.Checkpoint})
	}
	sent, answered := w.now, false
	local := f.read(w.now)
	for range 1 + w.rng.IntN(8)/7 { // sometimes twice
		if w.rng.IntN(2) < w.cut[f.name] {
			continue
		}
		w.after(w.delay(), func() {
			w.deliver(w.leader, r, func(reply *wire.WorkerReply) {
				w.after(w.delay(), func() {
					late := f.sequence != r.Sequence || w.now < f.frozen || w.now-sent > giveUp || w.cut[f.name] > 0
					if answered || late || r.Worker.Incarnation != fmt.Sprint(f.incarnation) {
						return
					}
					answered = true
					f.obey(local, reply)
				})
			})
		})
	}
	w.after(pollEach+time.Duration(w.rng.Int64N(int64(2*pollEach))), f.poll)
}

func (f *fake) refs() []state.Ref {
	return slices.SortedFunc(maps.Keys(f.tasks), func(a, b state.Ref) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
}

func (f *fake) obey(sent time.Time, reply *wire.WorkerReply) {
	f.guard()
	f.lease = sent.Add(time.Duration(reply.LeaseMs) * time.Millisecond)
	if reply.LeaseMs == 0 {
		f.lease = f.read(f.world.now).Add(-1)
	}
	f.guard()
	remaining := f.lease.Sub(f.read(f.world.now))
	f.world.after(max(0, remaining)*1_000_000/time.Duration(1_000_000+f.ppm)+time.Microsecond, f.guard)
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
			f.end(ref, e, wire.TaskEventKind_TASK_EVENT_KIND_STOPPED)
		}
	}
}

func (f *fake) start(ref state.Ref, o *wire.Order) {
	w := f.world
	k := fmt.Sprintf("%s/%d", ref.Job, ref.Index)
	if since, out := w.outSince[f.domain]; out && w.now > since+permit {
		w.fail("%v starts on %s, whose domain is out since %v", ref, f.name, since)
	}
	if w.live[k] != "" {
		w.fail("%v starts on %s while it executes on %s", ref, f.name, w.live[k])
	}
	if w.started[ref] {
		w.fail("%v starts a second time, on %s", ref, f.name)
	}
	if accepted := w.accepted(ref); accepted != o.Checkpoint {
		w.fail("%v resumes from %d, accepted is %d", ref, o.Checkpoint, accepted)
	}
	w.live[k] = f.name
	w.executed[k] = true
	w.started[ref] = true
	f.tasks[ref] = &execution{
		service: o.ClassKind == wire.ClassKind_CLASS_KIND_SERVICE,
		report:  &wire.TaskReport{Task: o.Task, Phase: wire.TaskEventKind_TASK_EVENT_KIND_RUNNING, Checkpoint: o.Checkpoint},
	}
}

// accepted returns the last checkpoint that the leader's state accepted of an earlier attempt.
func (w *world) accepted(ref state.Ref) uint64 {
	for _, t := range w.replicas[w.leader].machine.Job(ref.Job).Tasks {
		if t.Index == ref.Index {
			return t.Checkpoint
		}
	}
	return 0
}

func (f *fake) end(ref state.Ref, e *execution, phase wire.TaskEventKind) {
	if e.report.Phase == wire.TaskEventKind_TASK_EVENT_KIND_RUNNING {
		delete(f.world.live, fmt.Sprintf("%s/%d", ref.Job, ref.Index))
		e.report.Phase = phase
	}
}

// guard stops batch tasks once the lease has ended; it comes before anything else a worker does.
func (f *fake) guard() {
	if f.read(f.world.now).Before(f.lease) {
		return
	}
	for ref, e := range f.tasks {
		if !e.service {
			f.end(ref, e, wire.TaskEventKind_TASK_EVENT_KIND_STOPPED)
		}
	}
}

// work lets tasks advance, checkpoint, end and fail; a frozen worker's tasks count as executing no longer than its lease.
func (f *fake) work() {
	f.guard()
	f.world.after(50*time.Millisecond, f.work)
	if f.world.now < f.frozen || f.world.steady {
		return
	}
	for _, ref := range f.refs() {
		e := f.tasks[ref]
		if e.service || e.report.Phase != wire.TaskEventKind_TASK_EVENT_KIND_RUNNING {
			continue
		}
		switch f.world.rng.IntN(250) {
		case 0:
			f.end(ref, e, wire.TaskEventKind_TASK_EVENT_KIND_DONE)
		case 1:
			f.end(ref, e, wire.TaskEventKind_TASK_EVENT_KIND_FAILED)
		case 2, 3, 4, 5, 6, 7:
			e.report.Checkpoint++
		}
	}
}
