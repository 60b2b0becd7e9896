package schedule

import (
	"context"
	"time"

	"daisyswitch/event"
	"daisyswitch/lease"
	"daisyswitch/place"
	"daisyswitch/state"
	"daisyswitch/task"
	"daisyswitch/wire"
)

const (
	decideInterval = 20 * time.Millisecond
	reasonTimeout  = 500 * time.Millisecond // longest wait for the answer to Why
	maxEvents      = 1024                   // starts, and task events, per log record, so that a large batch does not delay the log
)

// Options holds the state that a loop reads and the callbacks that it uses.
type Options struct {
	Machine *state.Machine
	Leases  *lease.Table
	Commit  func(context.Context, *wire.Command) (*wire.CommandResult, error)
	Decided func(began time.Time)    // called after each Decide with the time at which it began
	Applied func(starts, events int) // called with the number of starts and events that the state accepted
}

// Loop is the scheduling loop of one replica. It runs while the replica leads, and only its goroutine uses the placer.
// Lock order: the mutexes of its mailboxes and of throttles are acquired after any other.
type Loop struct {
	options        Options
	placer         *place.Placer
	inbox          mailbox[update]
	reasonRequests mailbox[reasonRequest]
	throttles      throttles
}

// New returns a loop; Run starts it.
func New(o Options) *Loop {
	return &Loop{options: o}
}

// Run schedules until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	l.placer = place.New(place.Options{Seed: uint64(time.Now().UnixNano())})
	l.throttles.clear()
	l.inbox.open()
	defer l.inbox.close()
	l.reasonRequests.open()
	defer l.reasonRequests.close()
	l.loadState()
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.step(ctx, time.Now())
		}
	}
}

// TaskChanged queues a task's state after a transition.
func (l *Loop) TaskChanged(j *wire.Job, t *wire.Task) {
	l.inbox.add(update{job: j, task: t})
}

// WorkerChanged queues a changed worker record.
func (l *Loop) WorkerChanged(w *wire.WorkerRecord) {
	l.inbox.add(update{worker: w})
}

// ConfigurationChanged queues a newly accepted configuration.
func (l *Loop) ConfigurationChanged(c *wire.Configuration) {
	l.inbox.add(update{configuration: c})
}

// Reported queues an accepted worker report.
func (l *Loop) Reported(r *wire.WorkerReport) {
	l.inbox.add(update{report: r})
}

// Sampled queues a sample of the latency that callers saw for a class in a failure domain.
func (l *Loop) Sampled(domain string, s *wire.ServiceSample) {
	l.inbox.add(update{sample: s, domain: domain})
}

// Throttles returns the percentage of its processors to take from each attempt. The returned map is never modified.
func (l *Loop) Throttles() map[state.Ref]int32 {
	return l.throttles.current()
}

// Why returns the reasons why the given tasks of a job wait, or nil if the loop does not answer in time.
func (l *Loop) Why(ctx context.Context, job string, indexes []int32) []string {
	ctx, cancel := context.WithTimeout(ctx, reasonTimeout)
	defer cancel()
	q := reasonRequest{job: job, indexes: indexes, answer: make(chan []string, 1)}
	l.reasonRequests.add(q)
	select {
	case reasons := <-q.answer:
		return reasons
	case <-ctx.Done():
		return nil
	}
}

// loadState passes the whole committed state to the placer. Transitions since the inbox was opened are applied a second time from there, which is harmless.
func (l *Loop) loadState() {
	machine := l.options.Machine
	l.placer.SetConfiguration(machine.Configuration())
	machine.EachWorker(l.setWorker)
	machine.EachTask(l.placer.SetTask)
}

func (l *Loop) step(ctx context.Context, now time.Time) {
	l.applyUpdates(now)
	l.expireLeases(ctx, now)
	began := time.Now()
	decisions := l.placer.Decide(now)
	l.options.Decided(began)
	l.throttles.apply(decisions.Throttles)
	l.commit(ctx, decisions)
	l.answerReasonRequests()
}

// applyUpdates passes the queued updates to the placer, in order.
func (l *Loop) applyUpdates(now time.Time) {
	for _, item := range l.inbox.drain() {
		switch {
		case item.configuration != nil:
			l.placer.SetConfiguration(item.configuration)
		case item.worker != nil:
			l.setWorker(item.worker)
		case item.task != nil:
			l.setTask(item.job, item.task)
		case item.report != nil:
			l.placer.Observe(now, item.report)
		case item.sample != nil:
			l.placer.ObserveService(now, item.domain, item.sample)
		}
	}
}

func (l *Loop) setWorker(w *wire.WorkerRecord) {
	l.options.Leases.SetWorker(w)
	l.placer.SetWorker(w)
}

func (l *Loop) setTask(j *wire.Job, t *wire.Task) {
	if !task.Held(t) {
		l.throttles.remove(j.Id, t.Index, t.Attempt)
	}
	l.placer.SetTask(j, t)
}

// expireLeases marks workers as gone whose leases are known to have expired; their tasks are then rescheduled.
func (l *Loop) expireLeases(ctx context.Context, now time.Time) {
	for _, name := range l.options.Leases.Expired(now) {
		record := l.options.Machine.Worker(name)
		if record == nil || record.Gone {
			continue
		}
		command := &wire.Command{Workers: []*wire.WorkerRecord{lease.Gone(record)}}
		if _, err := l.options.Commit(ctx, command); err != nil {
			event.DecisionRefused.Error(err, "worker", name)
			return
		}
	}
}

func (l *Loop) commit(ctx context.Context, d place.Decisions) {
	for len(d.Starts) > 0 || len(d.Events) > 0 {
		command := &wire.Command{}
		command.Starts, d.Starts = splitBatch(d.Starts)
		command.Events, d.Events = splitBatch(d.Events)
		result, err := l.options.Commit(ctx, command)
		if err != nil {
			event.DecisionRefused.Error(err)
			return
		}
		l.options.Applied(countApplied(result.Starts), countApplied(result.Events))
	}
}

func countApplied(flags []bool) int {
	n := 0
	for _, ok := range flags {
		if ok {
			n++
		}
	}
	return n
}

func splitBatch[T any](items []T) (first, rest []T) {
	if len(items) <= maxEvents {
		return items, nil
	}
	return items[:maxEvents], items[maxEvents:]
}

// answerReasonRequests answers the pending requests of Why.
func (l *Loop) answerReasonRequests() {
	for _, q := range l.reasonRequests.drain() {
		reasons := make([]string, len(q.indexes))
		for i, index := range q.indexes {
			reasons[i] = l.placer.Why(q.job, index)
		}
		q.answer <- reasons
	}
}
