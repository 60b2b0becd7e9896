package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// The fake stands in for workers at their interface, in steps of one virtual second: usage and latency are reported late, orders arrive with the next poll.
const (
	reportLag  = 3   // seconds
	windowLen  = 10  // seconds
	rampLen    = 10  // seconds until a task uses all of its memory
	resumeCost = 5   // seconds of a start without progress
	savedEvery = 60  // seconds between checkpoints
	outAt      = 900 // a domain is taken out
	goneAt     = 930 // its workers leave
	backAt     = 1300
	horizon    = 1800
	services   = 3
	programs   = 11
)

type user struct {
	name                     string
	workers, domains         int
	cores, memory            float64 // of a worker, GiB
	weighVolume, weighWindow float64
}

var users = []user{
	{"tibay", 50, 3, 64, 250, 0.5, 0.2},
	{"verhoeven", 65, 4, 16, 60, 0.2, 0.5},
}

type fakeJob struct {
	*wire.Job
	program int
	cores   []float64 // true, of each task
	memory  []float64
	work    []float64 // seconds undisturbed
	bad     bool
	open    int
}

type fakeTask struct {
	*wire.Task
	job         *fakeJob
	index       int
	worker      *fakeWorker
	at, end     int // of the start, and of the stop once told
	done, saved float64
	throttle    float64
	speed       float64
	queuedAt    int
	service     bool
}

type fakeWorker struct {
	*wire.WorkerRecord
	number  int
	tasks   []*fakeTask
	free    resource.Size
	share   [programs]float64
	load    float64 // cores in use over cores
	memory  float64
	gone    bool
	reports []*wire.WorkerReport
	window  [2][]float64 // sum of latency over target of each service here: as it is, and alone
}

// measures is what one run brought.
type measures struct {
	good, windows                      float64
	volume, absence, volumeDone        float64
	evictions, kills, refused, resizes int
	urgentWait                         int
	givenUp, cannotRun, wronglyOver    int
	busy, committed, workerSeconds     float64
}

type fake struct {
	user
	random  *rand.Rand
	costs   [programs][programs]float64
	size    [programs][2]float64
	workers []*fakeWorker
	queue   []*fakeTask
	serial  int
	now     int
	placer  *Placer // nil for baselines
	config  *wire.Configuration
	decide  func(*fake)
	orders  []func()
	byName  map[string]*fakeWorker
	byRef   map[string]*fakeJob
	all     map[*fakeJob][]*fakeTask
	always  bool // the domain is away from begin to end
	quiet   bool // no batch
	measures
}

var fakeStart = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func newFake(u user, seed uint64) *fake {
	f := &fake{user: u, random: rand.New(rand.NewPCG(seed, 7)), byName: map[string]*fakeWorker{}, byRef: map[string]*fakeJob{}, all: map[*fakeJob][]*fakeTask{}}
	for a := range programs {
		f.size[a] = [2]float64{1 + 4*f.random.Float64(), 2 + 12*f.random.Float64()}
		for b := services; b < programs; b++ {
			f.costs[a][b] = 0.1 * f.random.Float64()
			if f.random.Float64() < 0.35 {
				f.costs[a][b] = 0.5 + f.random.Float64()
			}
			if a >= services {
				f.costs[a][b] /= 2
			}
		}
	}
	f.config = &wire.Configuration{Classes: []*wire.Class{
		{Name: "refunds", Kind: wire.ClassKind_CLASS_KIND_BATCH, TargetVolume: 100000, DueMinute: 1200},
		{Name: "reports", Kind: wire.ClassKind_CLASS_KIND_BATCH}, {Name: "urgent", Kind: wire.ClassKind_CLASS_KIND_BATCH},
	}}
	for s := range services {
		f.config.Classes = append(f.config.Classes, &wire.Class{Name: fmt.Sprint("service", s), Kind: wire.ClassKind_CLASS_KIND_SERVICE, TargetP99Us: serviceTarget})
	}
	for d := range u.domains {
		f.config.Domains = append(f.config.Domains, &wire.Domain{Name: fmt.Sprint("d", d)})
	}
	for n := range u.workers {
		w := &fakeWorker{number: n, WorkerRecord: &wire.WorkerRecord{Name: fmt.Sprintf("w%02d", n), Domain: fmt.Sprint("d", n%u.domains), Rack: fmt.Sprint("r", n/8),
			Capacity: &wire.Size{MilliCpu: int64(u.cores * 1000), MemoryMib: int64(u.memory * 1024)}}}
		w.free = resource.FromWire(w.Capacity)
		f.workers, f.byName[w.Name] = append(f.workers, w), w
	}
	return f
}

const serviceTarget = 20000 // microseconds

// begin places the replicas, the same way in every run.
func (f *fake) begin() {
	if f.placer != nil {
		f.placer.SetConfiguration(f.config)
		for _, w := range f.workers {
			f.placer.SetWorker(w.WorkerRecord)
		}
	}
	for s := range services {
		declared := f.random.Float64()*2 + 0.5
		j := &fakeJob{program: s, Job: &wire.Job{Id: fmt.Sprint("service", s), Class: fmt.Sprint("service", s), Program: fmt.Sprint("p", s), Tasks: int32(f.user.workers)}}
		peak := f.cores * 0.2
		j.Size = &wire.Size{MilliCpu: int64(peak * declared * 1000), MemoryMib: int64(f.memory * 0.08 * 1024)}
		f.byRef[j.Id] = j
		for n := s; n < f.user.workers*9/10; n += services {
			t := f.add(j, peak, f.memory*0.06, math.Inf(1))
			t.service = true
			f.start(t, f.workers[n], resource.FromWire(j.Size))
		}
	}
}

func (f *fake) add(j *fakeJob, cores, memory, work float64) *fakeTask {
	t := &fakeTask{job: j, index: len(j.cores), queuedAt: f.now, Task: &wire.Task{Job: j.Id, Index: int32(len(j.cores)), State: wire.TaskState_TASK_STATE_QUEUED}}
	j.cores, j.memory, j.work = append(j.cores, cores), append(j.memory, memory), append(j.work, work)
	f.all[j] = append(f.all[j], t)
	j.open++
	return t
}

// submit draws the next job of the stream, which is the same for every policy.
func (f *fake) submit(program, tasks int, team string, urgent bool) {
	f.serial++
	r := rand.New(rand.NewPCG(uint64(f.serial), f.size0()))
	class := []string{"refunds", "reports"}[f.serial%2]
	if urgent {
		class = "urgent"
	}
	wrong := [2]float64{math.Exp2(4*r.Float64() - 2), math.Exp2(4*r.Float64() - 2)}
	j := &fakeJob{program: program, Job: &wire.Job{Id: fmt.Sprint("j", f.serial), Class: class, Team: team, Program: fmt.Sprint("p", program), Urgent: urgent, Tasks: int32(tasks)}}
	cores, memory := f.size[program][0]*math.Exp(0.4*r.NormFloat64()), f.size[program][1]*math.Exp(0.4*r.NormFloat64())
	j.Size = &wire.Size{MilliCpu: int64(cores * wrong[0] * 1000), MemoryMib: int64(memory * wrong[1] * 1024)}
	j.bad = !urgent && r.Float64() < 0.01
	if !urgent && r.Float64() < 0.01 {
		j.Size.MemoryMib = 1 << 22
	}
	f.byRef[j.Id] = j
	for range tasks {
		size := math.Exp(0.15 * r.NormFloat64())
		work := min(1200, 40*math.Pow(1-r.Float64(), -1/1.5))
		if urgent {
			work = 20
		}
		t := f.add(j, cores*size, memory*size, work)
		f.queue = append(f.queue, t)
		f.tell(t)
	}
}

func (f *fake) size0() uint64 { return math.Float64bits(f.size[0][0]) }

func (f *fake) arrivals() {
	r := rand.New(rand.NewPCG(uint64(f.now), f.size0()))
	if f.now%15 == 7 {
		f.submit(services+r.IntN(programs-services), 1, "front", true)
	}
	if f.now == 600 {
		f.submit(programs-1, f.user.workers*3, "noisy", false)
	}
	for len(f.queue) < 6*f.user.workers {
		draw := rand.New(rand.NewPCG(uint64(f.serial), 3+f.size0()))
		f.submit(services+draw.IntN(programs-services), int(min(60, 3*math.Pow(1-draw.Float64(), -0.8))), []string{"books", "lots"}[draw.IntN(2)], false)
	}
}

func (f *fake) tell(t *fakeTask) {
	if f.placer != nil {
		f.placer.SetTask(t.job.Job, t.Task)
	}
}

// start commits a task, the one check that counts.
func (f *fake) start(t *fakeTask, w *fakeWorker, size resource.Size) bool {
	if t.worker != nil || w.gone || !size.Fits(w.free) {
		f.refused++
		return false
	}
	w.free = w.free.Sub(size)
	w.tasks = append(w.tasks, t)
	t.worker, t.at, t.end, t.throttle = w, f.now+1, 0, 0
	t.Attempt++
	t.State, t.Worker, t.Committed = wire.TaskState_TASK_STATE_RUNNING, w.Name, size.Wire()
	if t.job.Urgent {
		f.urgentWait = max(f.urgentWait, f.now+1-t.queuedAt)
	}
	f.tell(t)
	return true
}

// leave takes a task off its worker into a state.
func (f *fake) leave(t *fakeTask, state wire.TaskState) {
	w := t.worker
	for i := range w.tasks {
		if w.tasks[i] == t {
			w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
			break
		}
	}
	w.free = w.free.Add(resource.FromWire(t.Committed))
	t.worker, t.State, t.queuedAt = nil, state, f.now
	t.ChangedMs = fakeStart.UnixMilli() + int64(f.now)*1000
	if state == wire.TaskState_TASK_STATE_DONE {
		f.volumeDone++
		t.job.open--
	} else if fleet.Waiting(state) {
		f.queue = append(f.queue, t)
	}
	f.tell(t)
}

func (f *fake) stop(t *fakeTask) {
	if t.worker != nil && t.end == 0 {
		t.end = f.now + 2
		f.evictions++
		t.State = wire.TaskState_TASK_STATE_STOPPING
		f.tell(t)
	}
}

func (f *fake) fail(t *fakeTask) {
	t.Failures++
	t.done = t.saved
	f.leave(t, wire.TaskState_TASK_STATE_QUEUED)
}

func (f *fake) load(s, at int) float64 {
	l := 0.6 + 0.3*math.Sin(2*math.Pi*(float64(at)/1500+float64(s)/services))
	if rand.New(rand.NewPCG(uint64(at/60), uint64(s)+f.size0())).Float64() < 0.15 {
		l += 0.12
	}
	if at >= goneAt && at < backAt || f.always {
		l *= float64(f.domains) / float64(f.domains-1)
	}
	return l
}

// use sums what a worker's tasks take.
func (f *fake) use(w *fakeWorker) {
	w.share, w.load, w.memory = [programs]float64{}, 0, 0
	for _, t := range w.tasks {
		cores := t.job.cores[t.index]
		if t.service {
			cores *= f.load(t.job.program, f.now)
		} else {
			cores *= 1 - t.throttle
		}
		if t.at > f.now {
			continue
		}
		w.share[t.job.program] += cores / f.cores
		w.load += cores / f.cores
		w.memory += t.job.memory[t.index] * min(1, float64(f.now-t.at+1)/rampLen)
	}
}

// slow returns the true slowdown of a task beside the others.
func (f *fake) slow(t *fakeTask, w *fakeWorker, scale float64) float64 {
	sum := 1.0
	for n := services; n < programs; n++ {
		share := w.share[n]
		if n == t.job.program {
			share -= t.job.cores[t.index] * (1 - t.throttle) / f.cores
		}
		sum += scale * f.costs[t.job.program][n] * max(0, share)
	}
	return sum
}

func (f *fake) alone(s int) float64 {
	l := f.load(s, f.now)
	return (1 + 0.8*l*l) / (1.8 * 1.35)
}

// latency is a replica's tail latency over its target, without noise.
func (f *fake) latency(t *fakeTask, w *fakeWorker) float64 {
	return f.alone(t.job.program) * f.slow(t, w, f.load(t.job.program, f.now)) * (1 + 4*max(0, w.load-1))
}

func (f *fake) step() {
	f.domainOut()
	if !f.quiet {
		f.arrivals()
	}
	for _, w := range f.workers {
		f.use(w)
		f.run(w)
	}
	ready := f.orders
	f.orders = nil
	for _, order := range ready {
		order()
	}
	f.decide(f)
	f.now++
}

// domainOut takes the first domain out and later back; its workers are away in between.
func (f *fake) domainOut() {
	begin, gone, back := outAt, goneAt, backAt
	if f.always {
		begin, gone, back = 0, 0, -1
	}
	if f.now == begin || f.now == back {
		f.config.Domains[0].Out = f.now == begin
		if f.placer != nil {
			f.placer.SetConfiguration(f.config)
		}
	}
	if f.now != gone && f.now != back {
		return
	}
	for _, w := range f.workers {
		if w.Domain != f.config.Domains[0].Name {
			continue
		}
		w.gone = f.now == gone
		w.Gone = w.gone
		if f.placer != nil {
			f.placer.SetWorker(w.WorkerRecord)
		}
		for _, t := range append([]*fakeTask(nil), w.tasks...) {
			if !t.service {
				t.done = t.saved
				f.leave(t, wire.TaskState_TASK_STATE_CHECKPOINTED)
			}
		}
	}
}

// run lets a worker's tasks go on for a second.
func (f *fake) run(w *fakeWorker) {
	if w.gone {
		return
	}
	f.workerSeconds++
	f.busy += w.load
	f.committed += 1 - float64(w.free.MilliCPU)/1000/f.cores
	report := &wire.WorkerReport{Worker: w.WorkerRecord, Sequence: uint64(f.now)}
	noise := rand.New(rand.NewPCG(uint64(w.number), uint64(f.now)))
	for _, t := range append([]*fakeTask(nil), w.tasks...) {
		jitter := math.Exp(0.04 * noise.NormFloat64())
		if t.at > f.now {
			continue
		}
		cores, ratio := t.job.cores[t.index], 0.0
		if t.service {
			cores *= f.load(t.job.program, f.now)
			ratio = jitter * f.latency(t, w)
			f.count(w, ratio, jitter*f.alone(t.job.program))
		} else {
			cores *= 1 - t.throttle
			f.progress(t, w)
		}
		report.Tasks = append(report.Tasks, &wire.TaskReport{Task: &wire.TaskRef{Job: t.Job, Index: t.Index, Attempt: t.Attempt}, Phase: wire.TaskEventKind_TASK_EVENT_KIND_RUNNING,
			Used:  &wire.Size{MilliCpu: int64(1000 * cores * min(1, 1/w.load) * (0.95 + 0.1*noise.Float64())), MemoryMib: int64(1024 * t.job.memory[t.index] * min(1, float64(f.now-t.at+1)/rampLen))},
			P99Us: int64(serviceTarget * ratio), ProgressPpm: int64(1e6 * t.speed), ThrottlePercent: int32(math.Round(100 * t.throttle))})
	}
	if w.memory > f.memory {
		f.kill(w)
	}
	w.reports = append(w.reports, report)
	if len(w.reports) > reportLag {
		if f.placer != nil {
			f.placer.Observe(f.clock(), w.reports[0])
		}
		w.reports = w.reports[1:]
	}
}

func (f *fake) clock() time.Time { return fakeStart.Add(time.Duration(f.now) * time.Second) }

func (f *fake) progress(t *fakeTask, w *fakeWorker) {
	t.speed = 0
	switch {
	case t.job.bad && f.now-t.at >= 3, w.number == 7 && f.now > 200 && f.now < 900 && f.now-t.at >= 2 && t.at > 200:
		t.Reason = "exit status 1"
		f.fail(t)
		return
	case t.end > 0 && f.now >= t.end:
		t.saved = t.done
		f.leave(t, wire.TaskState_TASK_STATE_CHECKPOINTED)
		return
	case f.now-t.at < resumeCost || t.end > 0:
		return
	}
	t.speed = (1 - t.throttle) / f.slow(t, w, 1) * min(1, 1/w.load)
	t.done += t.speed
	if !t.job.bad {
		f.volume += t.speed * t.job.cores[t.index]
		if f.now >= outAt && f.now < backAt {
			f.absence += t.speed * t.job.cores[t.index]
		}
	}
	if (f.now-t.at)%savedEvery == 0 {
		t.saved = t.done
	}
	if t.done >= t.job.work[t.index] {
		f.leave(t, wire.TaskState_TASK_STATE_DONE)
	}
}

// count adds a second to a replica's window; windows in which it misses its target alone don't count.
func (f *fake) count(w *fakeWorker, ratio, alone float64) {
	w.window[0], w.window[1] = append(w.window[0], ratio), append(w.window[1], alone)
	if len(w.window[0]) < windowLen {
		return
	}
	if mean(w.window[1]) <= 1 {
		f.windows++
		if mean(w.window[0]) <= 1 {
			f.good++
		}
	}
	w.window[0], w.window[1] = w.window[0][:0], w.window[1][:0]
}

func mean(list []float64) (sum float64) {
	for _, each := range list {
		sum += each / float64(len(list))
	}
	return sum
}

// kill ends the batch task that is farthest beyond its commitment when a worker has no memory left.
func (f *fake) kill(w *fakeWorker) {
	var worst *fakeTask
	over := func(t *fakeTask) float64 { return t.job.memory[t.index]*1024 - float64(t.Committed.MemoryMib) }
	for _, t := range w.tasks {
		if !t.service && t.at <= f.now && (worst == nil || over(t) > over(worst)) {
			worst = t
		}
	}
	if worst != nil {
		f.kills++
		f.volume -= (worst.done - worst.saved) * worst.job.cores[worst.index]
		worst.Reason = OutOfMemory
		f.fail(worst)
	}
}
