package place

import (
	"cmp"
	"slices"
	"time"

	"daisyswitch/blame"
	"daisyswitch/interference"
	"daisyswitch/resource"
	"daisyswitch/room"
	"daisyswitch/sizing"
	"daisyswitch/wire"
)

type class struct {
	*wire.Class
	running int   // committed tasks
	queued  int   // tasks that wait
	day     int64 // days since 1970, UTC, that done counts
	done    int64
}

type team struct {
	name    string
	quota   resource.Size
	limited bool
	used    resource.Size // committed and proposed
}

type domain struct {
	name    string
	out     bool
	rooms   *room.Index
	workers []*worker // by slot of rooms, nil where a worker went
}

type worker struct {
	name     string
	rack     string
	domain   *domain // nil while it is not there
	slot     int
	capacity resource.Size // zero while it is not there
	free     resource.Size // capacity less what is committed and proposed
	tasks    []*task
	blame    blame.Worker

	reserved *task // urgent task or replica that room is being made for
	until    time.Time

	shares  []interference.Share // of its programs, see neighbors
	stale   bool                 // shares are to be counted again
	stepped time.Time            // last step of relief
	memory  int64                // in use as last measured, MiB
	pressed bool                 // in the placer's list
}

// shape is one capacity that some worker has or had.
type shape struct {
	workers int
	gone    time.Time // when the last of them went
}

type job struct {
	*wire.Job
	size    resource.Size // declared
	class   *class
	team    *team
	lane    *lane
	program interference.Program
	tasks   map[int32]*task
	queue   taskList
	queued  bool // in its lane
	prev    *job
	next    *job
	peak    sizing.Peak // of all its tasks
	warm    bool        // peak is known from a task measured for long enough
	blame   blame.Job
	givenUp bool
}

// decision is what was decided about a task and is not yet answered by the state.
type decision int8

const (
	undecided decision = iota
	decidedStart
	decidedEnd // CANNOT_RUN or GIVE_UP
	decidedStop
	decidedResize
)

type task struct {
	job       *job
	index     int32
	attempt   uint32
	slot      int32 // position among its worker's tasks
	failures  uint32
	state     wire.TaskState
	decision  decision
	sized     bool    // in the placer's list of tasks to be resized
	throttle  int32   // percent
	worker    *worker // where it is committed or proposed
	failedOn  *worker // last failure
	holder    *worker // that room is being made on
	latency   bool    // its worker reports its tail latency
	credited  bool    // this attempt has run long enough to speak for its worker
	committed resource.Size
	before    resource.Size // committed before a decided growth
	used      resource.Size // last measurement
	peak      sizing.Peak
	decided   time.Time
	measured  time.Time // first measurement of this attempt
	ratio     float64   // services: smoothed logarithm of tail latency over target
	offset    float64   // services: smoothed part of it that the table does not foresee
	prev      *task
	next      *task
}

// SetConfiguration takes the accepted classes, teams and domains.
func (p *Placer) SetConfiguration(c *wire.Configuration) {
	for name, known := range p.classes {
		known.Class = &wire.Class{Name: name}
	}
	for _, each := range c.GetClasses() {
		p.class(each.GetName()).Class = each
	}
	for _, known := range p.teams {
		known.limited = false
	}
	for _, each := range c.GetTeams() {
		known := p.team(each.GetName())
		known.quota = resource.FromWire(each.GetQuota())
		known.limited = known.quota != resource.Size{}
	}
	for _, known := range p.domains {
		known.out = false
	}
	for _, each := range c.GetDomains() {
		p.domain(each.GetName()).out = each.GetOut()
	}
}

// SetWorker takes a worker's record; one that is gone starts nothing more, but its tasks stay on it until the state says otherwise.
func (p *Placer) SetWorker(r *wire.WorkerRecord) {
	w := p.worker(r.GetName())
	capacity := resource.FromWire(r.GetCapacity())
	if w.domain != nil && (r.GetGone() || w.domain.name != r.GetDomain() || w.capacity != capacity) {
		p.leave(w)
	}
	if r.GetGone() {
		if len(w.tasks) == 0 {
			delete(p.workers, w.name)
		}
		return
	}
	w.rack = r.GetRack()
	if w.domain == nil {
		p.join(w, p.domain(r.GetDomain()), capacity)
	}
}

func (p *Placer) worker(name string) *worker {
	w := p.workers[name]
	if w == nil {
		w = &worker{name: name, stale: true}
		p.workers[name] = w
	}
	return w
}

func (p *Placer) join(w *worker, d *domain, capacity resource.Size) {
	w.domain = d
	w.slot = d.rooms.Add(resource.Size{MilliCPU: -1})
	if w.slot == len(d.workers) {
		d.workers = append(d.workers, nil)
	}
	d.workers[w.slot] = w
	w.capacity = capacity
	w.free = w.free.Add(capacity)
	p.total = p.total.Add(capacity)
	p.countShape(capacity, 1)
	p.offer(w)
}

func (p *Placer) leave(w *worker) {
	w.domain.rooms.Remove(w.slot)
	w.domain.workers[w.slot] = nil
	w.domain = nil
	w.free = w.free.Sub(w.capacity)
	p.total = p.total.Sub(w.capacity)
	p.countShape(w.capacity, -1)
	w.capacity = resource.Size{}
}

func (p *Placer) countShape(capacity resource.Size, n int) {
	s := p.shapes[capacity]
	if s == nil {
		s = &shape{}
		p.shapes[capacity] = s
		p.changed = p.now
	}
	s.workers += n
	s.gone = p.now
}

// SetTask takes a task's state after a transition, or at the rebuild of a placer; ended tasks are dropped.
func (p *Placer) SetTask(j *wire.Job, t *wire.Task) {
	known := p.jobs[j.GetId()]
	if known == nil {
		if !waiting(t.GetState()) && !holding(t.GetState()) {
			p.countDone(p.class(j.GetClass()), t)
			return
		}
		known = p.addJob(j)
	}
	own := known.tasks[t.GetIndex()]
	if own == nil {
		own = &task{job: known, index: t.GetIndex()}
		known.tasks[own.index] = own
	}
	p.judge(own, t)
	committed := resource.FromWire(t.GetCommitted())
	if own.decision == decidedResize && own.attempt == t.GetAttempt() && committed == own.before {
		committed = own.committed // the growth is still being committed
	} else {
		own.decision = undecided
	}
	p.dequeue(own)
	p.release(own)
	if !waiting(t.GetState()) {
		p.unreserve(own)
	}
	if own.attempt != t.GetAttempt() || !holding(t.GetState()) {
		p.forget(own)
	}
	own.state, own.attempt, own.failures = t.GetState(), t.GetAttempt(), t.GetFailures()
	switch {
	case waiting(own.state):
		p.enqueue(own)
	case holding(own.state):
		p.hold(own, p.worker(t.GetWorker()), committed)
	default:
		p.countDone(known.class, t)
		p.dropTask(own)
	}
}

// forget drops what was measured of an attempt that has ended.
func (p *Placer) forget(t *task) {
	if t.throttle > 0 {
		p.unthrottle(t)
	}
	t.used, t.peak, t.measured = resource.Size{}, sizing.Peak{}, time.Time{}
	t.ratio, t.offset, t.credited = 0, 0, false
}

func (p *Placer) addJob(j *wire.Job) *job {
	known := &job{Job: j, size: resource.FromWire(j.GetSize()), tasks: make(map[int32]*task)}
	known.class = p.class(j.GetClass())
	known.team = p.team(j.GetTeam())
	known.program = p.table.Number(j.GetProgram())
	known.lane = p.lane(known)
	p.jobs[j.GetId()] = known
	return known
}

func (p *Placer) dropTask(t *task) {
	delete(t.job.tasks, t.index)
	if len(t.job.tasks) == 0 {
		delete(p.jobs, t.job.GetId())
	}
}

// countDone adds a task to the volume of the day on which it was done.
func (p *Placer) countDone(c *class, t *wire.Task) {
	if t.GetState() != wire.TaskState_TASK_STATE_DONE {
		return
	}
	day := t.GetChangedMs() / dayLength.Milliseconds()
	if day > c.day {
		c.day, c.done = day, 0
	}
	if day == c.day {
		c.done++
	}
}

// hold commits room on a worker to a task.
func (p *Placer) hold(t *task, w *worker, size resource.Size) {
	t.job.class.running++
	t.job.team.used = t.job.team.used.Add(size)
	t.committed = size
	t.worker = w
	t.slot = int32(len(w.tasks))
	w.tasks = append(w.tasks, t)
	w.free = w.free.Sub(size)
	p.offer(w)
}

// release gives back what a task holds.
func (p *Placer) release(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	t.job.class.running--
	t.job.team.used = t.job.team.used.Sub(t.committed)
	t.worker = nil
	last := len(w.tasks) - 1
	w.tasks[t.slot] = w.tasks[last]
	w.tasks[t.slot].slot = t.slot
	w.tasks[last] = nil
	w.tasks = w.tasks[:last]
	w.free = w.free.Add(t.committed)
	p.offer(w)
	if w.domain == nil && len(w.tasks) == 0 {
		delete(p.workers, w.name)
	}
}

// recommit changes what a running task holds.
func (p *Placer) recommit(t *task, size resource.Size) {
	t.job.team.used = t.job.team.used.Sub(t.committed).Add(size)
	t.worker.free = t.worker.free.Add(t.committed).Sub(size)
	t.committed = size
	p.offer(t.worker)
}

// offer tells the index how much room of a worker is open to any task.
func (p *Placer) offer(w *worker) {
	w.stale = true
	if w.domain == nil {
		return
	}
	open := w.free
	if w.reserved != nil {
		open = open.Sub(w.reserved.job.size)
	}
	if w.blame.Suspended() && !w.blame.Probes(p.now, len(w.tasks)) {
		open = resource.Size{MilliCPU: -1}
	}
	w.domain.rooms.Set(w.slot, open)
}

func (p *Placer) class(name string) *class {
	c := p.classes[name]
	if c == nil {
		c = &class{Class: &wire.Class{Name: name}}
		p.classes[name] = c
	}
	return c
}

func (p *Placer) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{name: name}
		p.teams[name] = t
	}
	return t
}

func (p *Placer) domain(name string) *domain {
	d := p.domains[name]
	if d == nil {
		d = &domain{name: name, rooms: room.New()}
		p.domains[name] = d
		p.ordered = append(p.ordered, d)
		slices.SortFunc(p.ordered, func(a, b *domain) int { return cmp.Compare(a.name, b.name) })
	}
	return d
}

func (c *class) service() bool {
	return c.GetKind() == wire.ClassKind_CLASS_KIND_SERVICE
}

func waiting(s wire.TaskState) bool {
	return s == wire.TaskState_TASK_STATE_QUEUED || s == wire.TaskState_TASK_STATE_CHECKPOINTED
}

func holding(s wire.TaskState) bool {
	switch s {
	case wire.TaskState_TASK_STATE_STARTING, wire.TaskState_TASK_STATE_RUNNING, wire.TaskState_TASK_STATE_STOPPING:
		return true
	}
	return false
}
