package place

import (
	"math"
	"slices"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

// withPlacer makes the simulator use the placer, with an optional change such as a feature switched off.
func withPlacer(off func(*Placer)) func(*sim) {
	return func(f *sim) {
		f.placer, f.decide = New(Options{Seed: f.seed + 1}), (*sim).applyDecisions
		if off != nil {
			off(f.placer)
		}
	}
}

// applyDecisions commits the starts and events of a Decide at once, and delivers its throttles with the next poll.
func (f *sim) applyDecisions() {
	d := f.placer.Decide(f.clock())
	for _, s := range d.Starts {
		w := slices.IndexFunc(f.workers, func(w *simWorker) bool { return w.Name == s.Worker })
		f.start(f.jobs[s.Job].tasks[s.Index], f.workers[w], resource.FromWire(s.Size))
	}
	for _, e := range d.Events {
		f.apply(e)
	}
	f.orders = append(f.orders, func() {
		for _, change := range d.Throttles {
			if t := f.jobs[change.Job].tasks[change.Index]; t.worker != nil && t.Attempt == change.Attempt {
				t.throttle = float64(change.Percent) / 100
			}
		}
	})
}

func (f *sim) apply(e *wire.TaskEvent) {
	t := f.jobs[e.Task.Job].tasks[e.Task.Index]
	switch e.Kind {
	case wire.TaskEventKind_TASK_EVENT_KIND_STOPPING:
		f.stop(t)
	case wire.TaskEventKind_TASK_EVENT_KIND_RESIZE:
		more := resource.FromWire(e.Size).Sub(resource.FromWire(t.Committed))
		if t.worker == nil || !more.Fits(t.worker.free) {
			f.refused++
			return
		}
		t.worker.free, t.Committed = t.worker.free.Sub(more), e.Size
		f.resizes++
		f.notifyPlacer(t)
	default:
		if !t.job.bad && e.Kind == wire.TaskEventKind_TASK_EVENT_KIND_GIVE_UP {
			f.wrong++
		}
		t.State = wire.TaskState_TASK_STATE_CANNOT_RUN
		f.unqueue(t)
		f.notifyPlacer(t)
	}
}

// fit starts queued tasks in order, urgent ones first, each on the worker with capacity for its size that has the highest score.
func (f *sim) fit(size func(*simTask) resource.Size, choose func(*simTask, *simWorker, resource.Size) float64) {
	order := map[bool]int{true: 0, false: 1}
	slices.SortStableFunc(f.queue, func(a, b *simTask) int { return order[a.job.Urgent] - order[b.job.Urgent] })
	full := map[*simJob]bool{}
	for _, t := range slices.Clone(f.queue) {
		if full[t.job] {
			continue
		}
		var best *simWorker
		bestScore := math.Inf(-1)
		for _, w := range f.workers {
			if w.Gone || f.config.Domains[w.number%f.domains].Out || !size(t).Fits(w.free) {
				continue
			}
			if score := choose(t, w, size(t)); score > bestScore {
				best, bestScore = w, score
			}
		}
		if full[t.job] = best == nil; best != nil {
			f.start(t, best, size(t))
			f.updateUsage(best)
		}
	}
}

func declared(t *simTask) resource.Size { return resource.FromWire(t.job.Size) }

func firstFit(f *sim) {
	f.decide = func(f *sim) {
		f.fit(declared, func(_ *simTask, w *simWorker, _ resource.Size) float64 { return -float64(w.number) })
	}
}

func bestFit(f *sim) {
	f.decide = func(f *sim) {
		f.fit(declared, func(_ *simTask, w *simWorker, s resource.Size) float64 { return -float64(w.free.Sub(s).MilliCPU) })
	}
}

func servicesAlone(f *sim) { f.quiet, f.decide = true, func(*sim) {} }

// reactive is first fit that evicts the largest batch task beside a service at each latency reading over the target.
func reactive(f *sim) {
	firstFit(f)
	fit := f.decide
	f.decide = func(f *sim) {
		fit(f)
		for _, w := range f.workers {
			over := len(w.reports) > 0 && slices.ContainsFunc(w.reports[0].Tasks, func(r *wire.TaskReport) bool { return r.P99Us > target })
			batch := slices.DeleteFunc(slices.Clone(w.tasks), func(t *simTask) bool { return t.service || t.end > 0 })
			if over && len(batch) > 0 {
				f.stop(slices.MaxFunc(batch, func(a, b *simTask) int { return int(1000 * (a.cores - b.cores)) }))
			}
		}
	}
}

// oracle is a greedy policy that knows the true sizes, the interference costs, the future load, and which workers and jobs are faulty. It throttles without delay.
func oracle(f *sim) {
	f.decide = func(f *sim) {
		for _, w := range f.workers {
			f.oracleThrottle(w)
		}
		f.queue = slices.DeleteFunc(f.queue, func(t *simTask) bool { return t.job.bad || t.job.Size.MemoryMib == tooLarge })
		f.fit(func(t *simTask) resource.Size { return sizeOf(t.cores, t.memory) }, f.oracleScore)
	}
}

// oracleScore rejects a placement that would push a service past its target within the next two minutes.
func (f *sim) oracleScore(t *simTask, w *simWorker, s resource.Size) float64 {
	if f.workerBroken(w) {
		return math.Inf(-1)
	}
	share, sum := t.cores/f.cores, 0.0
	for _, neighbor := range w.tasks {
		cost := f.costs[neighbor.job.program][t.job.program] * share
		if !neighbor.service {
			sum += cost
			continue
		}
		peak := max(f.load(neighbor.job.program, f.now), f.load(neighbor.job.program, f.now+60), f.load(neighbor.job.program, f.now+120))
		left := 1.35*1.8/(1+0.8*peak*peak)*0.98 - f.slowdown(neighbor, w, peak) - peak*cost
		if left < 0 && !t.job.Urgent {
			return math.Inf(-1)
		}
		sum += cost / (max(0, left) + cost + 0.02)
	}
	left := w.free.Sub(s)
	cpu, memory := float64(left.MilliCPU)/1000/f.cores, float64(left.MemoryMiB)/1024/f.memory
	return -sum - f.slowdown(t, w, 1) - 0.1*(cpu+memory+math.Abs(cpu-memory))
}

func (f *sim) oracleThrottle(w *simWorker) {
	for _, t := range w.tasks {
		t.throttle = 0
	}
	f.updateUsage(w)
	for _, s := range w.tasks {
		if !s.service {
			continue
		}
		batch := slices.DeleteFunc(slices.Clone(w.tasks), func(t *simTask) bool { return t.service })
		slices.SortStableFunc(batch, func(a, b *simTask) int {
			return int(1e6 * (f.costs[s.job.program][b.job.program] - f.costs[s.job.program][a.job.program]))
		})
		for _, t := range batch {
			if f.latency(s, w) > 0.98 {
				t.throttle = 0.8
				f.updateUsage(w)
			}
		}
	}
}
