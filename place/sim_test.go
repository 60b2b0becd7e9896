package place

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// The simulator replaces the workers at their interface and advances in steps of one virtual second. Usage and latency are reported with a lag, and orders arrive with the next poll.
const (
	reportLag, windowLen, rampLen, resumeCost, savedEvery = 3, 10, 10, 5, 60      // seconds; a task reaches its full memory usage after rampLen, and makes no progress for the first resumeCost
	outAt, goneAt, backAt, horizon                        = 900, 930, 1300, 1800  // seconds at which a domain is taken out, its workers leave, they return, and the run ends
	badWorker, badFrom                                    = 7, 200                // the worker that fails the tasks that it starts, from badFrom until outAt
	services, programs, target, tooLarge                  = 3, 11, 20000, 1 << 22 // target in microseconds; tooLarge, in MiB, exceeds every worker
)

type user struct {
	name                                    string
	workers, domains                        int
	cores, memory, weighVolume, weighWindow float64 // cores and memory (GiB) per worker
}

var users = []user{{"tibay", 50, 3, 64, 250, 0.5, 0.2}, {"verhoeven", 65, 4, 16, 60, 0.2, 0.5}}

type simJob struct {
	*wire.Job
	program int
	bad     bool
	tasks   []*simTask
}

type simTask struct {
	*wire.Task
	job                 *simJob
	worker              *simWorker
	cores, memory, work float64 // true size in cores and GiB, and the duration in seconds when undisturbed
	at, end, queuedAt   int     // time of the start, of the end once ordered to stop, and of the queueing
	done, saved         float64 // progress and last checkpoint, in seconds of undisturbed work
	throttle            float64
	service             bool
}

type simWorker struct {
	*wire.WorkerRecord
	number  int
	tasks   []*simTask
	free    resource.Size
	share   [programs]float64
	load    float64 // cores in use as a share of all cores
	memory  float64
	reports []*wire.WorkerReport
	window  [2]float64 // mean ratio of the replica's latency to its target: as observed, and without batch
	seconds int
}

// measures are the results of one run.
type measures struct {
	good, windows, volume, absence             float64
	evictions, kills, failed, resizes, refused float64
	wrong, urgent, busy, held, workerSec       float64
}

type sim struct {
	user
	seed          uint64
	random        *rand.Rand
	costs         [programs][programs]float64
	size          [programs][2]float64
	workers       []*simWorker
	queue         []*simTask
	jobs          map[string]*simJob
	now           int
	placer        *Placer // nil for the baselines
	config        *wire.Configuration
	decide        func(*sim)
	orders        []func()
	always, quiet bool // the domain is away for the whole run; no batch arrives
	measures
}

var simStart = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func draw(a, b uint64) *rand.Rand { return rand.New(rand.NewPCG(a, b)) }

func newSim(u user, seed uint64) *sim {
	f := &sim{user: u, seed: seed, random: draw(seed, 7), jobs: map[string]*simJob{}}
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
	f.config = &wire.Configuration{Classes: []*wire.Class{{Name: "refunds", Kind: wire.ClassKind_CLASS_KIND_BATCH, TargetVolume: 100000, DueMinute: 1200},
		{Name: "reports", Kind: wire.ClassKind_CLASS_KIND_BATCH}, {Name: "urgent", Kind: wire.ClassKind_CLASS_KIND_BATCH}}}
	for s := range services {
		f.config.Classes = append(f.config.Classes, &wire.Class{Name: fmt.Sprint("service", s), Kind: wire.ClassKind_CLASS_KIND_SERVICE, TargetP99Us: target})
	}
	for d := range u.domains {
		f.config.Domains = append(f.config.Domains, &wire.Domain{Name: fmt.Sprint("d", d)})
	}
	for n := range u.workers {
		w := &simWorker{number: n, WorkerRecord: &wire.WorkerRecord{Name: fmt.Sprint("w", n), Domain: fmt.Sprint("d", n%u.domains), Rack: fmt.Sprint("r", n/8),
			Capacity: sizeOf(u.cores, u.memory).Wire()}}
		w.free = resource.FromWire(w.Capacity)
		f.workers = append(f.workers, w)
	}
	return f
}

func sizeOf(cores, gib float64) resource.Size {
	return resource.Size{MilliCPU: int64(1000 * cores), MemoryMiB: int64(1024 * gib)}
}

// begin places the replicas, in the same way for every policy.
func (f *sim) begin() {
	if f.placer != nil {
		f.placer.SetConfiguration(f.config)
		for _, w := range f.workers {
			f.placer.SetWorker(w.WorkerRecord)
		}
	}
	for s := range services {
		wrong := 0.5 + 2*f.random.Float64()
		j := f.job(fmt.Sprint("service", s), s, sizeOf(0.2*f.cores*wrong, 0.08*f.memory))
		for n := s; n < f.user.workers*9/10; n += services {
			t := f.task(j, 0.2*f.cores, 0.06*f.memory, math.Inf(1))
			t.service = true
			f.start(t, f.workers[n], resource.FromWire(j.Size))
		}
	}
}

func (f *sim) job(class string, program int, declared resource.Size) *simJob {
	j := &simJob{program: program, Job: &wire.Job{Id: fmt.Sprint("j", len(f.jobs)), Class: class, Program: fmt.Sprint("p", program), Size: declared.Wire()}}
	f.jobs[j.Id] = j
	return j
}

func (f *sim) task(j *simJob, cores, memory, work float64) *simTask {
	t := &simTask{job: j, cores: cores, memory: memory, work: work, queuedAt: f.now,
		Task: &wire.Task{Job: j.Id, Index: int32(len(j.tasks)), State: wire.TaskState_TASK_STATE_QUEUED}}
	j.tasks = append(j.tasks, t)
	return t
}

// submit draws the next job of the random stream, which is the same for every policy.
func (f *sim) submit(program, tasks int, team string, urgent bool) {
	r := draw(uint64(len(f.jobs)), f.seed)
	cores, memory := f.size[program][0]*math.Exp(0.4*r.NormFloat64()), f.size[program][1]*math.Exp(0.4*r.NormFloat64())
	j := f.job([]string{"refunds", "reports"}[len(f.jobs)%2], program, sizeOf(cores*math.Exp2(4*r.Float64()-2), memory*math.Exp2(4*r.Float64()-2)))
	j.Team, j.Urgent, j.bad = team, urgent, !urgent && r.Float64() < 0.01
	if urgent {
		j.Class = "urgent"
	} else if r.Float64() < 0.01 {
		j.Size.MemoryMib = tooLarge
	}
	for range tasks {
		scale, work := math.Exp(0.15*r.NormFloat64()), min(1200, 40*math.Pow(1-r.Float64(), -1/1.5))
		if urgent {
			work = 20
		}
		t := f.task(j, cores*scale, memory*scale, work)
		f.queue = append(f.queue, t)
		f.notifyPlacer(t)
	}
}

func (f *sim) arrivals() {
	if f.now%15 == 7 {
		f.submit(services+draw(uint64(f.now), f.seed).IntN(programs-services), 1, "front", true)
	}
	if f.now == 600 {
		f.submit(programs-1, f.user.workers*3, "noisy", false)
	}
	for len(f.queue) < 6*f.user.workers {
		r := draw(uint64(len(f.jobs)), 3+f.seed)
		f.submit(services+r.IntN(programs-services), int(min(60, 3*math.Pow(1-r.Float64(), -0.8))), []string{"books", "lots"}[r.IntN(2)], false)
	}
}

func (f *sim) notifyPlacer(t *simTask) {
	if f.placer != nil {
		f.placer.SetTask(t.job.Job, t.Task)
	}
}

// start commits a task, or counts a refusal if the worker is gone or lacks the capacity.
func (f *sim) start(t *simTask, w *simWorker, size resource.Size) {
	if t.worker != nil || w.Gone || !size.Fits(w.free) {
		f.refused++
		return
	}
	w.free, w.tasks = w.free.Sub(size), append(w.tasks, t)
	t.worker, t.at, t.end, t.throttle = w, f.now+1, 0, 0
	t.Attempt++
	t.State, t.Worker, t.Committed = wire.TaskState_TASK_STATE_RUNNING, w.Name, size.Wire()
	if t.job.Urgent {
		f.urgent = max(f.urgent, float64(f.now+1-t.queuedAt))
	}
	f.unqueue(t)
	f.notifyPlacer(t)
}

func (f *sim) unqueue(t *simTask) {
	if i := slices.Index(f.queue, t); i >= 0 {
		f.queue = slices.Delete(f.queue, i, i+1)
	}
}

// releaseTask removes a task from its worker and moves it to a state.
func (f *sim) releaseTask(t *simTask, state wire.TaskState) {
	w := t.worker
	w.tasks = slices.DeleteFunc(w.tasks, func(each *simTask) bool { return each == t })
	w.free = w.free.Add(resource.FromWire(t.Committed))
	t.worker, t.State, t.queuedAt, t.ChangedMs = nil, state, f.now, f.clock().UnixMilli()
	if fleet.Waiting(state) {
		f.queue = append(f.queue, t)
	}
	f.notifyPlacer(t)
}

func (f *sim) stop(t *simTask) {
	if t.worker != nil && t.end == 0 {
		t.end = f.now + 2
		f.evictions++
		t.State = wire.TaskState_TASK_STATE_STOPPING
		f.notifyPlacer(t)
	}
}

func (f *sim) fail(t *simTask, reason string) {
	t.Failures++
	t.Reason = reason
	t.done = t.saved
	f.releaseTask(t, wire.TaskState_TASK_STATE_QUEUED)
}

func (f *sim) load(s, at int) float64 {
	l := 0.6 + 0.3*math.Sin(2*math.Pi*(float64(at)/1500+float64(s)/services))
	if draw(uint64(at/60), uint64(s)+f.seed*services).Float64() < 0.15 {
		l += 0.12
	}
	if at >= goneAt && at < backAt || f.always {
		l *= float64(f.domains) / float64(f.domains-1)
	}
	return l
}

// cpuDemand returns how many cores a task would use now without contention.
func (f *sim) cpuDemand(t *simTask) float64 {
	if t.service {
		return t.cores * f.load(t.job.program, f.now)
	}
	return t.cores * (1 - t.throttle)
}

func (f *sim) memUse(t *simTask) float64 { return t.memory * min(1, float64(f.now-t.at+1)/rampLen) }

// updateUsage sums the demand of a worker's tasks.
func (f *sim) updateUsage(w *simWorker) {
	w.share, w.load, w.memory = [programs]float64{}, 0, 0
	for _, t := range w.tasks {
		if t.at <= f.now {
			w.share[t.job.program] += f.cpuDemand(t) / f.cores
			w.load += f.cpuDemand(t) / f.cores
			w.memory += f.memUse(t)
		}
	}
}

// slowdown returns the true slowdown of a task caused by the other tasks on its worker.
func (f *sim) slowdown(t *simTask, w *simWorker, scale float64) float64 {
	sum := 1.0
	for n := services; n < programs; n++ {
		share := w.share[n]
		if n == t.job.program {
			share -= f.cpuDemand(t) / f.cores
		}
		sum += scale * f.costs[t.job.program][n] * max(0, share)
	}
	return sum
}

// ratioWithoutBatch returns the ratio of a service's tail latency to its target without batch. At full load this leaves headroom for a slowdown of about a third.
func (f *sim) ratioWithoutBatch(s int) float64 {
	l := f.load(s, f.now)
	return (1 + 0.8*l*l) / (1.8 * 1.35)
}

func (f *sim) latency(t *simTask, w *simWorker) float64 {
	return f.ratioWithoutBatch(t.job.program) * f.slowdown(t, w, f.load(t.job.program, f.now)) * (1 + 4*max(0, w.load-1))
}

func (f *sim) step() {
	f.domainOut()
	if !f.quiet {
		f.arrivals()
	}
	for _, w := range f.workers {
		f.updateUsage(w)
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

// domainOut takes the first domain out, and later back in; its workers are away in between.
func (f *sim) domainOut() {
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
	for _, w := range f.workers {
		if f.now != gone && f.now != back || w.Domain != "d0" {
			continue
		}
		w.Gone = f.now == gone
		if f.placer != nil {
			f.placer.SetWorker(w.WorkerRecord)
		}
		for _, t := range slices.Clone(w.tasks) {
			if !t.service {
				t.done = t.saved
				f.releaseTask(t, wire.TaskState_TASK_STATE_CHECKPOINTED)
			}
		}
	}
}

// run advances a worker's tasks by one second, and delivers its report from reportLag seconds ago.
func (f *sim) run(w *simWorker) {
	if w.Gone {
		return
	}
	f.workerSec++
	f.busy += w.load
	f.held += 1 - float64(w.free.MilliCPU)/1000/f.cores
	report := &wire.WorkerReport{Worker: w.WorkerRecord}
	noise := draw(uint64(w.number), uint64(f.now))
	for _, t := range slices.Clone(w.tasks) {
		if t.at > f.now {
			continue
		}
		used := sizeOf(f.cpuDemand(t)*min(1, 1/w.load)*(0.95+0.1*noise.Float64()), f.memUse(t))
		line := &wire.TaskReport{Task: &wire.TaskRef{Job: t.Job, Index: t.Index, Attempt: t.Attempt}, Used: used.Wire(), ThrottlePercent: int32(math.Round(100 * t.throttle))}
		if t.service {
			jitter := math.Exp(0.04 * noise.NormFloat64())
			line.P99Us = int64(target * jitter * f.latency(t, w))
			f.recordWindow(w, jitter*f.latency(t, w), jitter*f.ratioWithoutBatch(t.job.program))
		} else {
			f.progress(t, w)
		}
		report.Tasks = append(report.Tasks, line)
	}
	f.killForMemory(w)
	w.reports = append(w.reports, report)
	if len(w.reports) > reportLag {
		if f.placer != nil {
			f.placer.Observe(f.clock(), w.reports[0])
		}
		w.reports = w.reports[1:]
	}
}

func (f *sim) clock() time.Time { return simStart.Add(time.Duration(f.now) * time.Second) }

func (f *sim) progress(t *simTask, w *simWorker) {
	switch {
	case t.job.bad && f.now-t.at >= 3:
		f.fail(t, "exit status 1")
	case f.workerBroken(w) && t.at > badFrom && f.now-t.at >= 2:
		f.failed++
		f.fail(t, "exit status 2")
	case t.end > 0 && f.now >= t.end:
		t.saved = t.done
		f.releaseTask(t, wire.TaskState_TASK_STATE_CHECKPOINTED)
	case f.now-t.at >= resumeCost && t.end == 0:
		f.work(t, (1-t.throttle)/f.slowdown(t, w, 1)*min(1, 1/w.load))
	}
}

func (f *sim) workerBroken(w *simWorker) bool {
	return w.number == badWorker && f.now > badFrom && f.now < outAt
}

func (f *sim) work(t *simTask, speed float64) {
	t.done += speed
	if !t.job.bad {
		f.volume += speed * t.cores
		if f.now >= outAt && f.now < backAt {
			f.absence += speed * t.cores
		}
	}
	if (f.now-t.at)%savedEvery == 0 {
		t.saved = t.done
	}
	if t.done >= t.work {
		f.releaseTask(t, wire.TaskState_TASK_STATE_DONE)
	}
}

// recordWindow adds one second to a replica's window. Windows in which the replica would miss its target even without batch don't recordWindow.
func (f *sim) recordWindow(w *simWorker, ratio, alone float64) {
	w.window[0] += ratio / windowLen
	w.window[1] += alone / windowLen
	if w.seconds++; w.seconds%windowLen > 0 {
		return
	}
	if w.window[1] <= 1 {
		f.windows++
	}
	if w.window[0] <= 1 { // latency beside batch is never lower than without
		f.good++
	}
	w.window = [2]float64{}
}

// killForMemory kills the batch task that exceeds its committed memory most when a worker runs out of memory.
func (f *sim) killForMemory(w *simWorker) {
	over := func(t *simTask) float64 {
		if t.service || t.at > f.now {
			return math.Inf(-1)
		}
		return t.memory*1024 - float64(t.Committed.MemoryMib)
	}
	if w.memory <= f.memory || len(w.tasks) == 0 {
		return
	}
	worst := slices.MaxFunc(w.tasks, func(a, b *simTask) int { return cmp.Compare(over(a), over(b)) })
	if !worst.service {
		f.kills++
		f.volume -= (worst.done - worst.saved) * worst.cores
		f.fail(worst, OutOfMemory)
	}
}
