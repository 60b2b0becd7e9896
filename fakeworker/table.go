package fakeworker

import (
	"sort"
	"strconv"
	"time"

	"daisyswitch/resource"
	"daisyswitch/standin"
	"daisyswitch/worker"
)

const (
	saveEvery     = time.Second // between checkpoints of a batch task
	failAfter     = 100 * time.Millisecond
	failingPrefix = "fail" // of programs that fail everywhere
	baseP99       = 4 * time.Millisecond
	startWithin   = worker.StartWithinMS * time.Millisecond
	longestLease  = 24 * 60 * 60 * 1000    // milliseconds
	stopMargin    = 100 * time.Millisecond // before the lease's end, for stopping itself
)

// table holds the attempts on a worker and its lease; it has no clock, goroutine or lock of its own.
type table struct {
	options Options
	effect  func(standin.TaskEffect) // told of every effect as it happens
	tasks   map[ref]*task
	lease   time.Time // end of the lease, zero while there is none
	last    time.Time // of the latest step
	leaving bool      // starts are dropped
	dropped int       // starts that came too late
}

func newTable(o Options, effect func(standin.TaskEffect)) *table {
	return &table{options: o, effect: effect, tasks: map[ref]*task{}}
}

// step runs every task up to now, and stops batch when the lease has ended.
func (b *table) step(now time.Time) {
	took := now.Sub(b.last)
	b.last = now
	if !b.lease.IsZero() && !now.Before(b.lease) {
		b.lease = time.Time{}
		b.stopAll(now, standin.ReasonLeaseEnd, false)
	}
	speeds := b.speeds()
	for key, t := range b.tasks {
		if t.running() {
			b.advance(key, t, now, took, speeds[key])
		}
	}
}

func (b *table) advance(key ref, t *task, now time.Time, took time.Duration, speed float64) {
	finished := t.advance(took, speed)
	t.measure(now, b.options.Lag)
	switch {
	case (t.fails() || b.options.FailAll) && t.done >= failAfter:
		b.finish(key, t, worker.PhaseFailed, standin.ReasonFailed)
	case finished:
		b.finish(key, t, worker.PhaseDone, standin.ReasonDone)
	case !t.order.Service && !now.Before(t.saveAt):
		t.save(now)
	}
}

// stopAll checkpoints and stops batch, and services too if told.
func (b *table) stopAll(now time.Time, reason string, services bool) {
	for key, t := range b.tasks {
		if t.running() && (services || !t.order.Service) {
			b.checkpoint(key, t, now, reason)
		}
	}
}

// checkpoint saves a batch task and stops it; a service has nothing to save.
func (b *table) checkpoint(key ref, t *task, now time.Time, reason string) {
	if !t.order.Service {
		t.save(now)
	}
	b.finish(key, t, worker.PhaseStopped, reason)
}

func (b *table) finish(key ref, t *task, phase, reason string) {
	t.end(phase, reason)
	kind := standin.TaskEnded
	if phase == worker.PhaseStopped {
		kind = standin.TaskStopped
	}
	b.tell(kind, key, t, reason)
}

func (b *table) tell(kind string, key ref, t *task, reason string) {
	b.effect(standin.TaskEffect{
		Kind:       kind,
		Job:        key.job,
		Index:      key.index,
		Attempt:    key.attempt,
		Service:    t.order.Service,
		Checkpoint: t.checkpoint,
		Reason:     reason,
		Committed:  b.committed(),
		Capacity:   b.options.Capacity,
	})
}

// committed is the sum of what was last told about each running attempt.
func (b *table) committed() resource.Size {
	var sum resource.Size
	for _, t := range b.tasks {
		if t.running() {
			sum = sum.Add(t.order.Size)
		}
	}
	return sum
}

// take carries out the answer to a poll that was sent at sent.
func (b *table) take(sent, now time.Time, reply worker.Reply) {
	b.step(now)
	if reply.LeaseMS <= 0 {
		b.lease = time.Time{}
		b.stopAll(now, standin.ReasonNoLease, true)
		return
	}
	b.lease = sent.Add(min(time.Duration(reply.LeaseMS), longestLease)*time.Millisecond - stopMargin)
	b.step(now)
	for _, o := range reply.Orders {
		b.obey(sent, now, o)
	}
}

func (b *table) obey(sent, now time.Time, o worker.Order) {
	if o.Kind == worker.OrderStart {
		b.start(sent, now, o)
		return
	}
	key := refOf(o)
	t, known := b.tasks[key]
	if !known {
		b.refuse(key, o)
		return
	}
	if o.Size != (resource.Size{}) {
		t.order.Size = o.Size
	}
	switch o.Kind {
	case worker.OrderThrottle:
		t.throttle = o.ThrottlePercent
	case worker.OrderForget:
		b.forget(key, t)
	case worker.OrderCheckpoint:
		if t.running() {
			b.checkpoint(key, t, now, standin.ReasonEvicted)
		}
	case worker.OrderStop:
		if t.running() {
			b.finish(key, t, worker.PhaseStopped, standin.ReasonStopped)
		}
	}
}

// refuse answers a stop of an attempt that never came: it is reported as stopped and will not be started.
func (b *table) refuse(key ref, o worker.Order) {
	if o.Kind == worker.OrderStop || o.Kind == worker.OrderCheckpoint {
		b.tasks[key] = &task{order: o, phase: worker.PhaseStopped, reason: standin.ReasonStopped, never: true}
	}
}

func (b *table) forget(key ref, t *task) {
	delete(b.tasks, key)
	if t.never {
		return
	}
	if t.running() {
		b.finish(key, t, worker.PhaseStopped, standin.ReasonForgotten)
	}
	b.tell(standin.TaskForgotten, key, t, "")
}

// start runs a new attempt, unless it is known already, came too late, the lease has ended or the worker leaves.
func (b *table) start(sent, now time.Time, o worker.Order) {
	key := refOf(o)
	if _, known := b.tasks[key]; known {
		return
	}
	if now.Sub(sent) > startWithin || b.lease.IsZero() || b.leaving {
		b.dropped++
		return
	}
	t := newTask(o, now, b.options.Scale)
	b.tasks[key] = t
	kind := standin.TaskStarted
	if o.Checkpoint > 0 {
		kind = standin.TaskResumed
	}
	b.tell(kind, key, t, "")
}

// report returns what a poll sent now says of each attempt, in a steady order.
func (b *table) report(now time.Time) []worker.TaskReport {
	b.step(now)
	speeds := b.speeds()
	reports := make([]worker.TaskReport, 0, len(b.tasks))
	for key, t := range b.tasks {
		reports = append(reports, b.reportOf(key, t, now, speeds[key]))
	}
	sort.Slice(reports, func(i, j int) bool {
		a, c := reports[i], reports[j]
		if a.Job != c.Job {
			return a.Job < c.Job
		}
		if a.Index != c.Index {
			return a.Index < c.Index
		}
		return a.Attempt < c.Attempt
	})
	return reports
}

func (b *table) reportOf(key ref, t *task, now time.Time, speed float64) worker.TaskReport {
	r := worker.TaskReport{
		Job:             key.job,
		Index:           key.index,
		Attempt:         key.attempt,
		Phase:           t.phase,
		Used:            t.used(now, b.options.Lag),
		Size:            t.order.Size,
		Checkpoint:      t.checkpoint,
		Reason:          t.reason,
		ThrottlePercent: t.throttle,
	}
	if t.checkpoint > 0 {
		r.CheckpointData = strconv.AppendInt(nil, t.saved.Milliseconds(), 10)
	}
	switch {
	case !t.running():
	case t.order.Service:
		r.P99US = int64(float64(baseP99.Microseconds()) / max(speed, slowest))
	default:
		r.ProgressPPM = int64(speed * 1e6)
	}
	return r
}
