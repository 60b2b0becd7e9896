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
	throttleAbove = math.Log(0.98) // above it batch beside the service is throttled
	reliefGoal    = math.Log(0.95) // what a relief step aims for
	liftBelow     = math.Log(0.93) // below it throttles are lifted
)

// memoryLimit is the share of a worker's memory in use above which batch is evicted.
const memoryLimit = 0.9

// Options holds the timing and the steps of relief; a zero field takes its default.
type Options struct {
	Lag   time.Duration // time from an order to the first measurement that shows its effect; at most one step is taken per lag
	Steps []int32       // throttle levels in percent, in increasing order
}

var defaults = Options{Lag: 5 * time.Second, Steps: []int32{50, 80}}

// Throttle reduces the processor share of one attempt by a percentage; 0 removes the throttle.
type Throttle struct {
	Job     string
	Index   int32
	Attempt uint32
	Percent int32
}

// Gauge detects and relieves pressure on the workers of a fleet. It is not safe for concurrent use.
type Gauge struct {
	Options
	Evict func(t *fleet.Task, reason string) // checkpoints and stops a batch task

	fleet   *fleet.Fleet
	queued  []*fleet.Worker // workers measured since the last Relieve that need relief or have throttled tasks
	changed []Throttle      // changes since the last call of Throttles
}

// New returns a gauge for a fleet.
func New(f *fleet.Fleet, o Options) *Gauge {
	o.Lag = cmp.Or(o.Lag, defaults.Lag)
	if o.Steps == nil {
		o.Steps = defaults.Steps
	}
	return &Gauge{Options: o, fleet: f, Evict: func(*fleet.Task, string) {}}
}

// Assess queues a newly measured worker for Relieve if it needs relief or has throttled tasks.
func (g *Gauge) Assess(w *fleet.Worker) {
	if w.ReliefQueued {
		return
	}
	need := memoryShort(w)
	for _, t := range w.Tasks {
		need = need || t.Throttle > 0 || t.Job.Class.Service() && t.LogLatencyRatio > throttleAbove
	}
	if need {
		w.ReliefQueued = true
		g.queued = append(g.queued, w)
	}
}

func memoryShort(w *fleet.Worker) bool {
	return float64(w.Used.MemoryMiB) > memoryLimit*float64(w.Capacity.MemoryMiB)
}

// Relieve takes one step on each queued worker whose last step was at least one measurement lag ago.
func (g *Gauge) Relieve() {
	for _, w := range g.queued {
		w.ReliefQueued = false
		if w.Domain != nil {
			g.relieve(w)
		}
	}
	g.queued = g.queued[:0]
}

func (g *Gauge) relieve(w *fleet.Worker) {
	since := g.fleet.Now.Sub(w.LastReliefAt)
	if since < g.Lag {
		return
	}
	if memoryShort(w) {
		g.relieveMemory(w)
		return
	}
	worst := worstService(w)
	switch {
	case worst == nil:
		g.reduceThrottling(w, nil, math.Inf(1))
	case worst.LogLatencyRatio > throttleAbove:
		g.throttleOrEvict(w, worst)
	case worst.LogLatencyRatio < liftBelow && since >= 2*g.Lag:
		g.reduceThrottling(w, worst, reliefGoal-worst.LogLatencyRatio)
	}
}

func worstService(w *fleet.Worker) *fleet.Task {
	var worst *fleet.Task
	for _, t := range w.Tasks {
		if t.Job.Class.Service() && t.Job.Class.GetTargetP99Us() > 0 && (worst == nil || t.LogLatencyRatio > worst.LogLatencyRatio) {
			worst = t
		}
	}
	return worst
}

// throttleOrEvict takes one relief step: it throttles as much batch as is predicted to suffice. If all batch is fully throttled and the target is still missed, it evicts one task.
func (g *Gauge) throttleOrEvict(w *fleet.Worker, service *fleet.Task) {
	victims := g.victims(w, service)
	if g.targetUnreachable(service, victims) {
		return
	}
	excess := service.LogLatencyRatio - reliefGoal
	stepped := false
	for _, t := range victims {
		next := g.nextLevel(t.Throttle)
		if excess <= 0 || next == t.Throttle {
			continue
		}
		excess -= float64(next-t.Throttle) / float64(100-t.Throttle) * g.effect(service, t)
		g.setThrottle(t, next)
		stepped = true
	}
	if !stepped && service.LogLatencyRatio > 0 && len(victims) > 0 {
		g.Evict(victims[0], "a service on its worker misses its target")
		stepped = true
	}
	if stepped {
		w.LastReliefAt = g.fleet.Now
	}
}

// targetUnreachable reports whether a service would miss its target even without the batch beside it.
func (g *Gauge) targetUnreachable(service *fleet.Task, victims []*fleet.Task) bool {
	reach := latencyTolerance
	for _, t := range victims {
		reach += effectFactor * g.effect(service, t)
	}
	return service.LogLatencyRatio > reach
}

// Tolerances for uncertain estimates in targetUnreachable.
const (
	latencyTolerance = 0.05 // as a logarithm of tail latency
	effectFactor     = 1.5  // factor on the estimated effect of batch
)

// victims returns the batch tasks on a worker that may be throttled or evicted: urgent ones last, otherwise those with the largest effect on the service first.
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

// effect estimates how much a task currently adds to the logarithm of a service's tail latency.
func (g *Gauge) effect(service, t *fleet.Task) float64 {
	cost := g.fleet.Table.Cost(service.Job.Program, t.Job.Program).Mean
	if t.Worker.Overloaded() {
		cost += overloadCost
	}
	return cost * t.Worker.Share(t.Used.MilliCPU)
}

// overloadCost is the additional cost of batch on an overloaded worker: what it would add to the logarithm of tail latency if it used all of the worker's processors.
const overloadCost = 2

func (g *Gauge) nextLevel(now int32) int32 {
	for _, step := range g.Steps {
		if step > now {
			return step
		}
	}
	return now
}

func (g *Gauge) previousLevel(now int32) int32 {
	last := int32(0)
	for _, step := range g.Steps {
		if step < now {
			last = step
		}
	}
	return last
}

// reduceThrottling lowers throttles by one level, tasks with the least effect on the service first, while the predicted effect stays within budget and the worker is not overloaded.
func (g *Gauge) reduceThrottling(w *fleet.Worker, service *fleet.Task, budget float64) {
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
		previousLevel := g.previousLevel(t.Throttle)
		share := float64(t.Throttle-previousLevel) / float64(100-t.Throttle)
		if service != nil {
			budget -= share * g.effect(service, t)
			spare -= share * w.Share(t.Used.MilliCPU)
		}
		if budget < 0 || spare < 0 {
			return
		}
		g.setThrottle(t, previousLevel)
		w.LastReliefAt = g.fleet.Now
	}
}

// relieveMemory evicts the batch task that exceeds its committed memory most, before the worker's kernel kills one of its own choice.
func (g *Gauge) relieveMemory(w *fleet.Worker) {
	var worst *fleet.Task
	for _, t := range w.Tasks {
		if t.Evictable() && (worst == nil || memoryExcess(t) > memoryExcess(worst)) {
			worst = t
		}
	}
	if worst != nil {
		g.Evict(worst, "its worker's memory runs out")
		w.LastReliefAt = g.fleet.Now
	}
}

func memoryExcess(t *fleet.Task) int64 {
	return t.Used.MemoryMiB - t.Committed.MemoryMiB
}
