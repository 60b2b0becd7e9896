package place

import (
	"time"

	"daisyswitch/resource"
	"daisyswitch/room"
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
	domain   *domain
	slot     int
	capacity resource.Size
	free     resource.Size // less what is committed and proposed
	tasks    []*task
}

// shape is one capacity that some worker has or had.
type shape struct {
	workers int
	gone    time.Time // when the last of them went
}

type job struct {
	*wire.Job
	size   resource.Size // declared
	class  *class
	team   *team
	lane   *lane
	tasks  map[int32]*task
	queue  taskList
	queued bool // in its lane
	prev   *job
	next   *job
}

type task struct {
	job       *job
	index     int32
	attempt   uint32
	slot      int32 // position among its worker's tasks
	state     wire.TaskState
	worker    *worker // where it is committed or proposed
	committed resource.Size
	decided   time.Time // of a proposal that the state has not yet answered, else zero
	failures  uint32
	prev      *task
	next      *task
}

// SetConfiguration takes the accepted classes, teams and domains.
func (p *Placer) SetConfiguration(c *wire.Configuration) {
	classes := make(map[string]*wire.Class, len(c.GetClasses()))
	for _, each := range c.GetClasses() {
		classes[each.GetName()] = each
		p.class(each.GetName()).Class = each
	}
	for name, known := range p.classes {
		if classes[name] == nil {
			known.Class = &wire.Class{Name: name}
		}
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

// SetWorker takes a worker's record; one that is gone starts nothing more.
func (p *Placer) SetWorker(r *wire.WorkerRecord) {
	w := p.workers[r.GetName()]
	capacity := resource.FromWire(r.GetCapacity())
	if w != nil && (r.GetGone() || w.domain.name != r.GetDomain()) {
		p.dropWorker(w)
		w = nil
	}
	if r.GetGone() {
		return
	}
	if w == nil {
		p.addWorker(r, capacity)
		return
	}
	w.rack = r.GetRack()
	if w.capacity == capacity {
		return
	}
	p.countShape(w.capacity, -1)
	p.countShape(capacity, 1)
	p.total = p.total.Sub(w.capacity).Add(capacity)
	w.free = w.free.Sub(w.capacity).Add(capacity)
	w.capacity = capacity
	w.domain.rooms.Set(w.slot, w.free)
}

func (p *Placer) addWorker(r *wire.WorkerRecord, capacity resource.Size) {
	d := p.domain(r.GetDomain())
	w := &worker{name: r.GetName(), rack: r.GetRack(), domain: d, capacity: capacity, free: capacity}
	w.slot = d.rooms.Add(capacity)
	if w.slot == len(d.workers) {
		d.workers = append(d.workers, nil)
	}
	d.workers[w.slot] = w
	p.workers[w.name] = w
	p.total = p.total.Add(capacity)
	p.countShape(capacity, 1)
}

// dropWorker forgets a worker; its tasks wait for the transitions that the state will tell of.
func (p *Placer) dropWorker(w *worker) {
	for len(w.tasks) > 0 {
		p.release(w.tasks[len(w.tasks)-1])
	}
	w.domain.rooms.Remove(w.slot)
	w.domain.workers[w.slot] = nil
	delete(p.workers, w.name)
	p.total = p.total.Sub(w.capacity)
	p.countShape(w.capacity, -1)
}

func (p *Placer) countShape(capacity resource.Size, n int) {
	s := p.shapes[capacity]
	if s == nil {
		s = &shape{}
		p.shapes[capacity] = s
		p.changed = p.now
	}
	s.workers += n
	if s.workers == 0 {
		s.gone = p.now
	}
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
	p.dequeue(own)
	p.release(own)
	own.state, own.attempt, own.failures = t.GetState(), t.GetAttempt(), t.GetFailures()
	own.decided = time.Time{}
	switch {
	case waiting(own.state):
		p.enqueue(own)
	case holding(own.state):
		p.hold(own, p.workers[t.GetWorker()], resource.FromWire(t.GetCommitted()))
	default:
		p.countDone(known.class, t)
		p.dropTask(own)
	}
}

func (p *Placer) addJob(j *wire.Job) *job {
	known := &job{Job: j, size: resource.FromWire(j.GetSize()), tasks: make(map[int32]*task)}
	known.class = p.class(j.GetClass())
	known.team = p.team(j.GetTeam())
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

// hold commits room on a worker, which may be unknown, to a task.
func (p *Placer) hold(t *task, w *worker, size resource.Size) {
	t.job.class.running++
	t.job.team.used = t.job.team.used.Add(size)
	t.committed = size
	t.worker = w
	if w == nil {
		w = nowhere
		t.worker = w
		return
	}
	t.slot = int32(len(w.tasks))
	w.tasks = append(w.tasks, t)
	w.free = w.free.Sub(size)
	w.domain.rooms.Set(w.slot, w.free)
}

// nowhere stands for a worker that the placer was not told of.
var nowhere = &worker{}

// release gives back what a task holds.
func (p *Placer) release(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	t.job.class.running--
	t.job.team.used = t.job.team.used.Sub(t.committed)
	t.worker = nil
	if w == nowhere {
		return
	}
	last := len(w.tasks) - 1
	w.tasks[t.slot] = w.tasks[last]
	w.tasks[t.slot].slot = t.slot
	w.tasks[last] = nil
	w.tasks = w.tasks[:last]
	w.free = w.free.Add(t.committed)
	w.domain.rooms.Set(w.slot, w.free)
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
