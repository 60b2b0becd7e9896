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
	checkpointInterval = time.Second // between periodic checkpoints of a batch task
	failAfter          = 100 * time.Millisecond
	failingPrefix      = "fail" // of programs that fail on every worker
	baseP99            = 4 * time.Millisecond
	startWithin        = worker.MaxStartAgeMS * time.Millisecond
	longestLease       = 24 * 60 * 60 * 1000    // milliseconds
	stopMargin         = 100 * time.Millisecond // before the end of the lease, to leave time for stopping the tasks
)

// table holds the attempts on a worker and its lease. It has no clock, goroutine or lock of its own.
type table struct {
	options  Options
	effect   func(standin.TaskEffect) // called for every effect as it happens
	tasks    map[attemptKey]*task
	lease    time.Time // end of the lease; zero without a lease
	lastStep time.Time // time of the latest step
	leaving  bool      // starts are dropped while set
	dropped  int       // number of starts dropped by start
}

func newTable(o Options, effect func(standin.TaskEffect)) *table {
	return &table{options: o, effect: effect, tasks: map[attemptKey]*task{}}
}

// step advances every task to now, and stops the batch tasks once the lease has expired.
func (b *table) step(now time.Time) {
	took := now.Sub(b.lastStep)
	b.lastStep = now
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

func (b *table) advance(key attemptKey, t *task, now time.Time, took time.Duration, speed float64) {
	finished := t.advance(took, speed)
	t.recordUse(now, b.options.Lag)
	switch {
	case (t.fails() || b.options.FailAll) && t.completedWork >= failAfter:
		b.endAttempt(key, t, worker.PhaseFailed, standin.ReasonFailed)
	case finished:
		b.endAttempt(key, t, worker.PhaseDone, standin.ReasonDone)
	case !t.order.Service && !now.Before(t.nextCheckpoint):
		t.takeCheckpoint(now)
	}
}

// stopAll checkpoints and stops all batch tasks, and also stops services if services is set.
func (b *table) stopAll(now time.Time, reason string, services bool) {
	for key, t := range b.tasks {
		if t.running() && (services || !t.order.Service) {
			b.checkpoint(key, t, now, reason)
		}
	}
}

// checkpoint stops a task after a checkpoint. A service has no checkpoint and is only stopped.
func (b *table) checkpoint(key attemptKey, t *task, now time.Time, reason string) {
	if !t.order.Service {
		t.takeCheckpoint(now)
	}
	b.endAttempt(key, t, worker.PhaseStopped, reason)
}

func (b *table) endAttempt(key attemptKey, t *task, phase, reason string) {
	t.end(phase, reason)
	kind := standin.TaskEnded
	if phase == worker.PhaseStopped {
		kind = standin.TaskStopped
	}
	b.emitEffect(kind, key, t, reason)
}

func (b *table) emitEffect(kind string, key attemptKey, t *task, reason string) {
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

// committed returns the sum of the last ordered sizes of the running attempts.
func (b *table) committed() resource.Size {
	var sum resource.Size
	for _, t := range b.tasks {
		if t.running() {
			sum = sum.Add(t.order.Size)
		}
	}
	return sum
}

// applyReply applies the reply to a poll that was sent at sent.
func (b *table) applyReply(sent, now time.Time, reply worker.Reply) {
	b.step(now)
	if reply.LeaseMS <= 0 {
		b.lease = time.Time{}
		b.stopAll(now, standin.ReasonNoLease, true)
		return
	}
	b.lease = sent.Add(min(time.Duration(reply.LeaseMS), longestLease)*time.Millisecond - stopMargin)
	b.step(now)
	for _, o := range reply.Orders {
		b.applyOrder(sent, now, o)
	}
}

func (b *table) applyOrder(sent, now time.Time, o worker.Order) {
	if o.Kind == worker.OrderStart {
		b.start(sent, now, o)
		return
	}
	key := attemptKeyOf(o)
	t, known := b.tasks[key]
	if !known {
		b.stopUnknown(key, o)
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
			b.endAttempt(key, t, worker.PhaseStopped, standin.ReasonStopped)
		}
	}
}

// stopUnknown handles a stop for an attempt whose start has not arrived. The attempt is reported as stopped, and a later start of it is ignored.
func (b *table) stopUnknown(key attemptKey, o worker.Order) {
	if o.Kind == worker.OrderStop || o.Kind == worker.OrderCheckpoint {
		b.tasks[key] = &task{order: o, phase: worker.PhaseStopped, reason: standin.ReasonStopped, neverStarted: true}
	}
}

func (b *table) forget(key attemptKey, t *task) {
	delete(b.tasks, key)
	if t.neverStarted {
		return
	}
	if t.running() {
		b.endAttempt(key, t, worker.PhaseStopped, standin.ReasonForgotten)
	}
	b.emitEffect(standin.TaskForgotten, key, t, "")
}

// start runs a new attempt. It ignores an attempt that is already known, and drops the start if it arrived too late, the lease has expired or the worker is leaving.
func (b *table) start(sent, now time.Time, o worker.Order) {
	key := attemptKeyOf(o)
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
	b.emitEffect(kind, key, t, "")
}

// report returns the report of each attempt at now, sorted by job, index and attempt.
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

func (b *table) reportOf(key attemptKey, t *task, now time.Time, speed float64) worker.TaskReport {
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
		r.CheckpointData = strconv.AppendInt(nil, t.checkpointWork.Milliseconds(), 10)
	}
	switch {
	case !t.running():
	case t.order.Service:
		r.P99US = int64(float64(baseP99.Microseconds()) / max(speed, minSpeed))
	default:
		r.ProgressPPM = int64(speed * 1e6)
	}
	return r
}
