package queue

import (
	"context"
	"sort"
	"sync"
	"time"

	"daisyswitch/verdict"
)

// Reasons of refusals, as callers see them.
var (
	ErrAbsent  = verdict.New(verdict.NotRun, "no upstream serves the class", nil)
	ErrTimeout = verdict.New(verdict.NotRun, "no slot became free in time", nil)
	ErrEarly   = verdict.New(verdict.NotRun, "the queue is too long for the deadline", nil)
	ErrGone    = verdict.New(verdict.NotRun, "the caller gave up while waiting", nil)
)

// Class orders classes: smaller ranks first, then those farther from their target.
type Class struct {
	Name     string
	Rank     int     // 0 for latency-critical, 1 for batch
	Distance float64 // measured tail latency in relation to the target, higher is more urgent
}

// Request asks for a slot.
type Request struct {
	Class Class
	Skip  []string      // upstreams not to use
	Wait  time.Duration // longest wait
}

// Options says where slots come from; zero values take the defaults.
type Options[S any] struct {
	Take func(class string, skip []string) (slot S, free, absent bool)
}

// Queue lets requests wait for slots in order of class and arrival. Its lock comes before that of Take.
type Queue[S any] struct {
	options Options[S]

	mu    sync.Mutex
	lines []*line[S] // one for each class that has waiters, in order
}

type line[S any] struct {
	class   Class
	waiters []*waiter[S]
	pace    pace
}

type waiter[S any] struct {
	request Request
	ready   chan S
}

// New returns an empty queue.
func New[S any](o Options[S]) *Queue[S] {
	return &Queue[S]{options: o}
}

// Acquire returns a slot, or one of the errors of this package, all of which say that the request did not run.
func (q *Queue[S]) Acquire(ctx context.Context, r Request) (S, error) {
	var none S
	w, slot, err := q.enter(r)
	if w == nil {
		return slot, err
	}
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	select {
	case slot = <-w.ready:
		return slot, nil
	case <-ctx.Done():
		err = ErrGone
	case <-timer.C:
		err = ErrTimeout
	}
	if q.leave(w) {
		return none, err
	}
	return <-w.ready, nil
}

// enter takes a slot at once if nobody of the same or a more urgent class waits, and otherwise joins the line.
func (q *Queue[S]) enter(r Request) (*waiter[S], S, error) {
	var none S
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.aheadOf(r.Class) {
		slot, free, absent := q.options.Take(r.Class.Name, r.Skip)
		if free {
			return nil, slot, nil
		}
		if absent {
			return nil, none, ErrAbsent
		}
	}
	l := q.line(r.Class)
	if l.pace.wait(len(l.waiters)) > r.Wait {
		return nil, none, ErrEarly
	}
	w := &waiter[S]{request: r, ready: make(chan S, 1)}
	l.waiters = append(l.waiters, w)
	return w, none, nil
}

// aheadOf reports whether a waiter goes before a new one of the class; called with the lock held.
func (q *Queue[S]) aheadOf(c Class) bool {
	for _, l := range q.lines {
		if len(l.waiters) > 0 && (l.class.Name == c.Name || before(l.class, c)) {
			return true
		}
	}
	return false
}

func before(a, b Class) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Distance > b.Distance
}

// line returns the class's line with its order brought up to date; called with the lock held.
func (q *Queue[S]) line(c Class) *line[S] {
	var found *line[S]
	for _, l := range q.lines {
		if l.class.Name == c.Name {
			found = l
		}
	}
	if found == nil {
		found = &line[S]{}
		q.lines = append(q.lines, found)
	}
	found.class = c
	sort.SliceStable(q.lines, func(i, j int) bool { return before(q.lines[i].class, q.lines[j].class) })
	return found
}

// leave takes a waiter out and reports whether it was still waiting.
func (q *Queue[S]) leave(w *waiter[S]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.lines {
		for i, other := range l.waiters {
			if other == w {
				l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
				return true
			}
		}
	}
	return false
}

// Wake gives slots that became free to those who wait.
func (q *Queue[S]) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.lines {
		q.serve(l)
	}
}

// serve hands out slots along one line until there is none; called with the lock held.
// A waiter that has upstreams to skip does not keep back those behind it.
func (q *Queue[S]) serve(l *line[S]) {
	kept := l.waiters[:0]
	full := false
	for _, w := range l.waiters {
		if full {
			kept = append(kept, w)
			continue
		}
		slot, free, _ := q.options.Take(l.class.Name, w.request.Skip)
		if !free {
			full = len(w.request.Skip) == 0
			kept = append(kept, w)
			continue
		}
		l.pace.left(time.Now())
		w.ready <- slot
	}
	clear(l.waiters[len(kept):])
	l.waiters = kept
	if len(kept) == 0 {
		l.pace.pause()
	}
}

// Waiting returns the number of requests in line.
func (q *Queue[S]) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, l := range q.lines {
		n += len(l.waiters)
	}
	return n
}
