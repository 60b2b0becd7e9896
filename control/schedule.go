package control

import (
	"context"
	"time"

	"daisyswitch/event"
	"daisyswitch/lease"
	"daisyswitch/place"
	"daisyswitch/wire"
)

const (
	decideEvery = 20 * time.Millisecond
	commitTime  = 2 * time.Second
	maxEvents   = 1024 // task events in one record, so that a wave does not hold the log up
)

// loop is the leader's scheduling loop; it alone touches the placer.
type loop struct {
	control *Control
	placer  *place.Placer
}

// lead runs the scheduling loop until ctx ends.
func (c *Control) lead(ctx context.Context) {
	l := &loop{control: c, placer: place.New(place.Options{Seed: uint64(time.Now().UnixNano())})}
	c.inbox.open()
	defer c.inbox.close()
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

// load gives the placer everything that is committed; transitions since the inbox was opened come again and do no harm.
func (l *loop) load() {
	machine := l.control.machine
	l.placer.SetConfiguration(machine.Configuration())
	machine.EachWorker(l.setWorker)
	machine.Each(l.placer.SetTask)
}

func (l *loop) step(ctx context.Context, now time.Time) {
	l.receive(now)
	l.expire(ctx, now)
	began := time.Now()
	decisions := l.placer.Decide(now)
	l.control.counters.decide.UpdateDuration(began)
	l.control.throttles.decide(decisions.Throttles)
	l.commit(ctx, decisions)
	l.publishReasons()
}

// receive hands on all that has happened since the last step, in order.
func (l *loop) receive(now time.Time) {
	for _, item := range l.control.inbox.take() {
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

func (l *loop) setWorker(w *wire.WorkerRecord) {
	l.control.leases.SetWorker(w)
	l.placer.SetWorker(w)
}

func (l *loop) setTask(j *wire.Job, t *wire.Task) {
	if !isCommitted(t.State) {
		l.control.throttles.forget(j.Id, t.Index, t.Attempt)
	}
	l.placer.SetTask(j, t)
}

// expire takes the tasks from workers whose leases have surely ended.
func (l *loop) expire(ctx context.Context, now time.Time) {
	for _, name := range l.control.leases.Expired(now) {
		record := l.control.machine.Worker(name)
		if record == nil || record.Gone {
			continue
		}
		command := &wire.Command{Workers: []*wire.WorkerRecord{lease.Gone(record)}}
		if _, err := l.control.commit(ctx, command); err != nil {
			event.DecisionRefused.Error(err, "worker", name)
			return
		}
	}
}

func (l *loop) commit(ctx context.Context, d place.Decisions) {
	for len(d.Starts) > 0 || len(d.Events) > 0 {
		command := &wire.Command{}
		command.Starts, d.Starts = cut(d.Starts)
		command.Events, d.Events = cut(d.Events)
		result, err := l.control.commit(ctx, command)
		if err != nil {
			event.DecisionRefused.Error(err)
			return
		}
		l.control.counters.starts.Add(applied(result.Starts))
		l.control.counters.events.Add(applied(result.Events))
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

// publishReasons answers those who asked why a task waits.
func (l *loop) publishReasons() {
	for _, q := range l.control.questions.take() {
		reasons := make([]string, len(q.indexes))
		for i, index := range q.indexes {
			reasons[i] = l.placer.Why(q.job, index)
		}
		q.answer <- reasons
	}
}
