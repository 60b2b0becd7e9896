package place

import (
	"daisyswitch/resource"
	"daisyswitch/wire"
	"math"
	"slices"
)

// ours runs the placer, with one of its ideas switched off.
func ours(off func(*Placer)) func(*fake) {
	return func(f *fake) {
		p := New(Options{Seed: f.random.Uint64()})
		if off != nil {
			off(p)
		}
		f.placer, f.decide = p, (*fake).obey
	}
}

// obey commits a Decide's starts at once, and sends its orders with the next poll.
func (f *fake) obey() {
	d := f.placer.Decide(f.clock())
	for _, s := range d.Starts {
		t := f.all[f.byRef[s.Job]][s.Index]
		if f.start(t, f.byName[s.Worker], resource.FromWire(s.Size)) {
			f.unqueue(t)
		}
	}
	for _, e := range d.Events {
		f.apply(e)
	}
	f.orders = append(f.orders, func() {
		for _, each := range d.Throttles {
			if t := f.all[f.byRef[each.Job]][each.Index]; t.worker != nil && t.Attempt == each.Attempt {
				t.throttle = float64(each.Percent) / 100
			}
		}
	})
}

func (f *fake) apply(e *wire.TaskEvent) {
	t := f.all[f.byRef[e.Task.Job]][e.Task.Index]
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_STOPPING:
		f.stop(t)
	case wire.TaskEventKind_TASK_EVENT_KIND_RESIZE:
		size := resource.FromWire(e.Size)
		more := size.Sub(resource.FromWire(t.Committed))
		if t.worker == nil || !more.Fits(t.worker.free.Add(resource.Size{})) {
			f.refused++
			return
		}
		t.worker.free = t.worker.free.Sub(more)
		t.Committed = e.Size
		f.resizes++
		f.tell(t)
	default:
		t.State = wire.TaskState_TASK_STATE_CANNOT_RUN
		f.cannotRun++
		if e.Kind == wire.TaskEventKind_TASK_EVENT_KIND_GIVE_UP {
			t.State = wire.TaskState_TASK_STATE_FAILED
			f.givenUp++
			if !t.job.bad {
				f.wronglyOver++
			}
		}
		f.unqueue(t)
		f.tell(t)
	}
}

func (f *fake) unqueue(t *fakeTask) {
	if i := slices.Index(f.queue, t); i >= 0 {
		f.queue = slices.Delete(f.queue, i, i+1)
	}
}

// fit starts queued tasks in order, urgent first, on the worker that choose likes best by their size.
func (f *fake) fit(size func(*fakeTask) resource.Size, choose func(*fakeTask, *fakeWorker, resource.Size) float64) {
	slices.SortStableFunc(f.queue, func(a, b *fakeTask) int {
		if a.job.Urgent == b.job.Urgent {
			return 0
		} else if a.job.Urgent {
			return -1
		}
		return 1
	})
	full := map[*fakeJob]bool{}
	for _, t := range slices.Clone(f.queue) {
		if full[t.job] {
			continue
		}
		var best *fakeWorker
		bestScore := math.Inf(-1)
		for _, w := range f.workers {
			if w.gone || f.config.Domains[w.number%f.domains].Out || !size(t).Fits(w.free) {
				continue
			}
			if score := choose(t, w, size(t)); score > bestScore {
				best, bestScore = w, score
			}
		}
		if best == nil {
			full[t.job] = true
		} else if f.start(t, best, size(t)) {
			f.unqueue(t)
			f.use(best)
		}
	}
}

func declared(t *fakeTask) resource.Size { return resource.FromWire(t.job.Size) }

func firstFit(f *fake) {
	f.decide = func(f *fake) {
		f.fit(declared, func(_ *fakeTask, w *fakeWorker, _ resource.Size) float64 { return -float64(w.number) })
	}
}

func bestFit(f *fake) {
	f.decide = func(f *fake) {
		f.fit(declared, func(_ *fakeTask, w *fakeWorker, s resource.Size) float64 { return -float64(w.free.Sub(s).MilliCPU) })
	}
}

func servicesAlone(f *fake) {
	f.quiet, f.decide = true, func(*fake) {}
}

// reactive is first fit that evicts the largest batch beside a service at each reading over the target.
func reactive(f *fake) {
	firstFit(f)
	fit := f.decide
	f.decide = func(f *fake) {
		fit(f)
		for _, w := range f.workers {
			if len(w.reports) == 0 {
				continue
			}
			over := false
			for _, r := range w.reports[0].Tasks {
				over = over || r.P99Us > serviceTarget
			}
			var worst *fakeTask
			for _, t := range w.tasks {
				if over && !t.service && t.end == 0 && (worst == nil || t.job.cores[t.index] > worst.job.cores[worst.index]) {
					worst = t
				}
			}
			if worst != nil {
				f.stop(worst)
			}
		}
	}
}

// oracle knows true sizes, the costs and the load to come, and throttles without delay.
func oracle(f *fake) {
	size := func(t *fakeTask) resource.Size {
		return resource.Size{MilliCPU: int64(1000 * t.job.cores[t.index]), MemoryMiB: int64(1024 * t.job.memory[t.index])}
	}
	f.decide = func(f *fake) {
		for _, w := range f.workers {
			f.oracleThrottle(w)
		}
		for _, t := range f.queue {
			if t.job.bad || t.job.Size.MemoryMib == 1<<22 {
				t.job.open = 0
			}
		}
		f.queue = slices.DeleteFunc(f.queue, func(t *fakeTask) bool { return t.job.open == 0 })
		f.fit(size, f.oracleScore)
	}
}

// oracleScore refuses what would take a service past its target in the next two minutes.
func (f *fake) oracleScore(t *fakeTask, w *fakeWorker, s resource.Size) float64 {
	if w.number == 7 && f.now > 200 && f.now < 900 {
		return math.Inf(-1)
	}
	share, sum := t.job.cores[t.index]/f.cores, 0.0
	for _, each := range w.tasks {
		cost := f.costs[each.job.program][t.job.program] * share
		if each.service {
			peak := max(f.load(each.job.program, f.now), f.load(each.job.program, f.now+60), f.load(each.job.program, f.now+120))
			left := 1.35*1.8/(1+0.8*peak*peak)*0.98 - f.slow(each, w, peak) - peak*cost
			if left < 0 && !t.job.Urgent {
				return math.Inf(-1)
			}
			sum += cost / (max(0, left) + cost + 0.02)
			continue
		}
		sum += cost
	}
	left := w.free.Sub(s)
	cpu, memory := float64(left.MilliCPU)/1000/f.cores, float64(left.MemoryMiB)/1024/f.memory
	return -sum - f.slow(t, w, 1) - 0.1*(cpu+memory+math.Abs(cpu-memory))
}

func (f *fake) oracleThrottle(w *fakeWorker) {
	f.use(w)
	for _, t := range w.tasks {
		t.throttle = 0
	}
	f.use(w)
	for _, s := range w.tasks {
		if !s.service {
			continue
		}
		batch := slices.DeleteFunc(slices.Clone(w.tasks), func(t *fakeTask) bool { return t.service })
		slices.SortStableFunc(batch, func(a, b *fakeTask) int {
			return int(1e6 * (f.costs[s.job.program][b.job.program] - f.costs[s.job.program][a.job.program]))
		})
		for _, t := range batch {
			if f.latency(s, w) <= 0.98 {
				break
			}
			t.throttle = 0.8
			f.use(w)
		}
	}
}
