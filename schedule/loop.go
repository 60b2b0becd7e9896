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
	decideEvery = 20 * time.Millisecond
	reasonTime  = 500 * time.Millisecond // longest wait for the reasons why tasks wait
	maxEvents   = 1024                   // task events in one record, so that a wave does not hold the log up
)

// Options says what a loop reads and how it has its decisions committed.
type Options struct {
	Machine *state.Machine
	Leases  *lease.Table
	Commit  func(context.Context, *wire.Command) (*wire.CommandResult, error)
	Decided func(began time.Time)    // told of each decision that has ended
	Applied func(starts, events int) // told how many decisions were carried out
}

// Loop is the scheduling loop of one replica; it runs while the replica leads, and alone touches the placer.
// The locks of its parts are taken last, after any other.
type Loop struct {
	options   Options
	placer    *place.Placer
	inbox     mailbox[item]
	questions mailbox[question]
	throttles throttles
}

// New returns a loop that does not run yet.
func New(o Options) *Loop {
	return &Loop{options: o}
}

// Run schedules until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	l.placer = place.New(place.Options{Seed: uint64(time.Now().UnixNano())})
	l.throttles.clear()
	l.inbox.open()
	defer l.inbox.close()
	l.questions.open()
	defer l.questions.close()
	l.load()
	ticker := time.NewTicker(decideEvery)
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

// TaskChanged tells of a transition.
func (l *Loop) TaskChanged(j *wire.Job, t *wire.Task) {
	l.inbox.add(item{job: j, task: t})
}

// WorkerChanged tells of a worker's record.
func (l *Loop) WorkerChanged(w *wire.WorkerRecord) {
	l.inbox.add(item{worker: w})
}

// ConfigurationChanged tells of an accepted configuration.
func (l *Loop) ConfigurationChanged(c *wire.Configuration) {
	l.inbox.add(item{configuration: c})
}

// Reported tells of a worker's report that counts.
func (l *Loop) Reported(r *wire.WorkerReport) {
	l.inbox.add(item{report: r})
}

// Sampled tells what callers saw of a class in a failure domain.
func (l *Loop) Sampled(domain string, s *wire.ServiceSample) {
	l.inbox.add(item{sample: s, domain: domain})
}

// Throttles returns the percentage of processors to take from each attempt; the map is never altered.
func (l *Loop) Throttles() map[state.Ref]int32 {
	return l.throttles.current()
}

// Why returns why each of some waiting tasks of a job waits, nil if the loop does not say in time.
func (l *Loop) Why(ctx context.Context, job string, indexes []int32) []string {
	ctx, cancel := context.WithTimeout(ctx, reasonTime)
	defer cancel()
	q := question{job: job, indexes: indexes, answer: make(chan []string, 1)}
	l.questions.add(q)
	select {
	case reasons := <-q.answer:
		return reasons
	case <-ctx.Done():
		return nil
	}
}

// load gives the placer everything that is committed; transitions since the inbox was opened come again and do no harm.
func (l *Loop) load() {
	machine := l.options.Machine
	l.placer.SetConfiguration(machine.Configuration())
	machine.EachWorker(l.setWorker)
	machine.Each(l.placer.SetTask)
}

func (l *Loop) step(ctx context.Context, now time.Time) {
	l.receive(now)
	l.expire(ctx, now)
	began := time.Now()
	decisions := l.placer.Decide(now)
	l.options.Decided(began)
	l.throttles.decide(decisions.Throttles)
	l.commit(ctx, decisions)
	l.answerQuestions()
}

// receive hands on all that has happened since the last step, in order.
func (l *Loop) receive(now time.Time) {
	for _, item := range l.inbox.take() {
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
		l.throttles.forget(j.Id, t.Index, t.Attempt)
	}
	l.placer.SetTask(j, t)
}

// expire takes the tasks from workers whose leases have surely ended.
func (l *Loop) expire(ctx context.Context, now time.Time) {
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
		command.Starts, d.Starts = cut(d.Starts)
		command.Events, d.Events = cut(d.Events)
		result, err := l.options.Commit(ctx, command)
		if err != nil {
			event.DecisionRefused.Error(err)
			return
		}
		l.options.Applied(applied(result.Starts), applied(result.Events))
	}
}

func applied(flags []bool) int {
	n := 0
	for _, ok := range flags {
		if ok {
			n++
		}
	}
	return n
}

func cut[T any](items []T) (first, rest []T) {
	if len(items) <= maxEvents {
		return items, nil
	}
	return items[:maxEvents], items[maxEvents:]
}

// answerQuestions answers those who asked why a task waits.
func (l *Loop) answerQuestions() {
	for _, q := range l.questions.take() {
		reasons := make([]string, len(q.indexes))
		for i, index := range q.indexes {
			reasons[i] = l.placer.Why(q.job, index)
		}
		q.answer <- reasons
	}
}
