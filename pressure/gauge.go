package pressure

import (
	"cmp"
	"math"
	"slices"
	"time"

	"daisyswitch/fleet"
)

// Bounds on a service's tail latency, as logarithms of its ratio to the target.
var (
	hot  = math.Log(0.98) // above it batch beside the service is slowed
	goal = math.Log(0.95) // what a step of relief aims at
	cool = math.Log(0.93) // below it batch gets back what was taken
)

// memoryLimit is the share of a worker's memory in use past which batch is evicted.
const memoryLimit = 0.9

// Options holds how relief is given; a zero field takes its default.
type Options struct {
	Lag   time.Duration // from an order to the first measurement that shows its effect; one step is taken in it
	Steps []int32       // shares of processors taken away from a task, one after the other, percent
}

var defaults = Options{Lag: 5 * time.Second, Steps: []int32{50, 80}}

// Throttle takes a share of the processors away from one attempt; 0 gives them back.
type Throttle struct {
	Job     string
	Index   int32
	Attempt uint32
	Percent int32
}

// Gauge watches the workers of a fleet; it is used from one goroutine.
type Gauge struct {
	Options
	Evict func(t *fleet.Task, reason string) // checkpoints and stops batch

	fleet   *fleet.Fleet
	pressed []*fleet.Worker // measured since the last Relieve, and with something to relieve or to give back
	changed []Throttle      // since the last Throttles
}

// New returns a gauge for a fleet.
func New(f *fleet.Fleet, o Options) *Gauge {
	o.Lag = cmp.Or(o.Lag, defaults.Lag)
	if o.Steps == nil {
		o.Steps = defaults.Steps
	}
	return &Gauge{Options: o, fleet: f, Evict: func(*fleet.Task, string) {}}
}

// Assess notes a worker that was just measured if it needs relief or has something to be given back.
func (g *Gauge) Assess(w *fleet.Worker) {
	if w.Pressed {
		return
	}
	need := short(w)
	for _, t := range w.Tasks {
		need = need || t.Throttle > 0 || t.Job.Class.Service() && t.Ratio > hot
	}
	if need {
		w.Pressed = true
		g.pressed = append(g.pressed, w)
	}
}

func short(w *fleet.Worker) bool {
	return float64(w.Used.MemoryMiB) > memoryLimit*float64(w.Capacity.MemoryMiB)
}

// Relieve takes one step on each noted worker whose last step is a measurement lag ago.
func (g *Gauge) Relieve() {
	for _, w := range g.pressed {
		w.Pressed = false
		if w.Domain != nil {
			g.relieve(w)
		}
	}
	g.pressed = g.pressed[:0]
}

func (g *Gauge) relieve(w *fleet.Worker) {
	since := g.fleet.Now.Sub(w.Stepped)
	if since < g.Lag {
		return
	}
	if short(w) {
		g.relieveMemory(w)
		return
	}
	worst := worstService(w)
	switch {
	case worst == nil:
		g.giveBack(w, nil, math.Inf(1))
	case worst.Ratio > hot:
		g.press(w, worst)
	case worst.Ratio < cool && since >= 2*g.Lag:
		g.giveBack(w, worst, goal-worst.Ratio)
	}
}

func worstService(w *fleet.Worker) *fleet.Task {
	var worst *fleet.Task
	for _, t := range w.Tasks {
		if t.Job.Class.Service() && t.Job.Class.GetTargetP99Us() > 0 && (worst == nil || t.Ratio > worst.Ratio) {
			worst = t
		}
	}
	return worst
}

// press takes one step: it throttles as much batch as is foreseen to suffice, and evicts one task when all is throttled and the target still missed.
func (g *Gauge) press(w *fleet.Worker, service *fleet.Task) {
	victims := g.victims(w, service)
	if g.futile(service, victims) {
		return
	}
	excess := service.Ratio - goal
	stepped := false
	for _, t := range victims {
		next := g.higher(t.Throttle)
		if excess <= 0 || next == t.Throttle {
			continue
		}
		excess -= float64(next-t.Throttle) / float64(100-t.Throttle) * g.effect(service, t)
		g.set(t, next)
		stepped = true
	}
	if !stepped && service.Ratio > 0 && len(victims) > 0 {
		g.Evict(victims[0], "a service on its worker misses its target")
		stepped = true
	}
	if stepped {
		w.Stepped = g.fleet.Now
	}
}

// futile reports whether a service would miss its target even without the batch beside it.
func (g *Gauge) futile(service *fleet.Task, victims []*fleet.Task) bool {
	reach := unsure
	for _, t := range victims {
		reach += trust * g.effect(service, t)
	}
	return service.Ratio > reach
}

// Allowances for what is not known well when relief is judged futile.
const (
	unsure = 0.05 // logarithm of tail latency
	trust  = 1.5  // times the believed effect of batch
)

// victims returns the batch on a worker that may be slowed, that which hurts the service most first and urgent work last.
func (g *Gauge) victims(w *fleet.Worker, service *fleet.Task) []*fleet.Task {
	var list []*fleet.Task
	for _, t := range w.Tasks {
		if t.Evictable() {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, b *fleet.Task) int {
		if a.Job.Urgent != b.Job.Urgent {
			if a.Job.Urgent {
				return 1
			}
			return -1
		}
		return cmp.Compare(g.effect(service, b), g.effect(service, a))
	})
	return list
}

// effect is how much a task is believed to add to the logarithm of a service's tail latency now.
func (g *Gauge) effect(service, t *fleet.Task) float64 {
	cost := g.fleet.Table.Cost(service.Job.Program, t.Job.Program).Mean
	if t.Worker.Overloaded() {
		cost += overloadCost
	}
	return cost * t.Worker.Share(t.Used.MilliCPU)
}

// overloadCost is what any batch on the whole of an overloaded worker adds to the logarithm of tail latency.
const overloadCost = 2

func (g *Gauge) higher(now int32) int32 {
	for _, step := range g.Steps {
		if step > now {
			return step
		}
	}
	return now
}

func (g *Gauge) lower(now int32) int32 {
	last := int32(0)
	for _, step := range g.Steps {
		if step < now {
			last = step
		}
	}
	return last
}

// giveBack lessens throttling, of that which hurts least first, as far as is foreseen to stay within budget.
func (g *Gauge) giveBack(w *fleet.Worker, service *fleet.Task, budget float64) {
	var list []*fleet.Task
	for _, t := range w.Tasks {
		if t.Throttle > 0 {
			list = append(list, t)
		}
	}
	if service != nil {
		slices.SortStableFunc(list, func(a, b *fleet.Task) int { return cmp.Compare(g.effect(service, a), g.effect(service, b)) })
	}
	spare := w.Spare()
	for _, t := range list {
		lower := g.lower(t.Throttle)
		share := float64(t.Throttle-lower) / float64(100-t.Throttle)
		if service != nil {
			budget -= share * g.effect(service, t)
			spare -= share * w.Share(t.Used.MilliCPU)
		}
		if budget < 0 || spare < 0 {
			return
		}
		g.set(t, lower)
		w.Stepped = g.fleet.Now
	}
}

// relieveMemory evicts the batch task that is farthest beyond what is committed to it, before the worker's kernel picks one.
func (g *Gauge) relieveMemory(w *fleet.Worker) {
	var worst *fleet.Task
	for _, t := range w.Tasks {
		if t.Evictable() && (worst == nil || beyond(t) > beyond(worst)) {
			worst = t
		}
	}
	if worst != nil {
		g.Evict(worst, "its worker's memory runs out")
		w.Stepped = g.fleet.Now
	}
}

func beyond(t *fleet.Task) int64 {
	return t.Used.MemoryMiB - t.Committed.MemoryMiB
}
