package queue

import (
	"context"
	"sort"
	"sync"
	"time"

	"daisyswitch/verdict"
)

// Errors of Acquire; callers see their reasons.
var (
	ErrNoUpstream   = verdict.New(verdict.NotRun, "no upstream serves the class", nil)
	ErrTimeout      = verdict.New(verdict.NotRun, "no slot became free in time", nil)
	ErrQueueTooLong = verdict.New(verdict.NotRun, "the queue is too long for the deadline", nil)
	ErrCallerGone   = verdict.New(verdict.NotRun, "the caller gave up while waiting", nil)
)

// Class determines the order between classes: lower ranks first, then those farther above their latency target.
type Class struct {
	Name         string
	Rank         int     // 0 for latency-critical, 1 for batch
	LatencyRatio float64 // measured tail latency relative to the target; higher is more urgent
}

// Request describes a request for a slot.
type Request struct {
	Class Class
	Skip  []string      // IDs of upstreams not to use
	Wait  time.Duration // longest wait
}

// Options configures a Queue; Take allocates slots and is required.
type Options[S any] struct {
	Take func(class string, skip []string) (slot S, free, absent bool)
}

// Queue queues requests for slots in order of class and arrival. Its lock is acquired before any lock of Take.
type Queue[S any] struct {
	options Options[S]

	mu          sync.Mutex
	classQueues []*classQueue[S] // one for each class that has had waiters, in order of priority
}

type classQueue[S any] struct {
	class         Class
	waiters       []*waiter[S]
	departureRate departureRate
}

type waiter[S any] struct {
	request Request
	ready   chan S
}

// New returns an empty queue.
func New[S any](o Options[S]) *Queue[S] {
	return &Queue[S]{options: o}
}

// Acquire returns a slot, or one of the errors of this package, all of which have the verdict not-run.
func (q *Queue[S]) Acquire(ctx context.Context, r Request) (S, error) {
	var none S
	w, slot, err := q.takeOrEnqueue(r)
	if w == nil {
		return slot, err
	}
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	select {
	case slot = <-w.ready:
		return slot, nil
	case <-ctx.Done():
		err = ErrCallerGone
	case <-timer.C:
		err = ErrTimeout
	}
	if q.remove(w) {
		return none, err
	}
	return <-w.ready, nil
}

// takeOrEnqueue takes a slot at once if no request of the same or a more urgent class is waiting, and otherwise enqueues the request.
func (q *Queue[S]) takeOrEnqueue(r Request) (*waiter[S], S, error) {
	var none S
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.hasWaiterAhead(r.Class) {
		slot, free, absent := q.options.Take(r.Class.Name, r.Skip)
		if free {
			return nil, slot, nil
		}
		if absent {
			return nil, none, ErrNoUpstream
		}
	}
	l := q.classQueue(r.Class)
	if l.departureRate.estimateWait(len(l.waiters)) > r.Wait {
		return nil, none, ErrQueueTooLong
	}
	w := &waiter[S]{request: r, ready: make(chan S, 1)}
	l.waiters = append(l.waiters, w)
	return w, none, nil
}

// hasWaiterAhead reports whether a waiter has precedence over a new request of the class; called with the lock held.
func (q *Queue[S]) hasWaiterAhead(c Class) bool {
	for _, l := range q.classQueues {
		if len(l.waiters) > 0 && (l.class.Name == c.Name || precedes(l.class, c)) {
			return true
		}
	}
	return false
}

func precedes(a, b Class) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.LatencyRatio > b.LatencyRatio
}

// classQueue returns the queue of the class, creating it if needed, and updates the order of all queues; called with the lock held.
func (q *Queue[S]) classQueue(c Class) *classQueue[S] {
	var found *classQueue[S]
	for _, l := range q.classQueues {
		if l.class.Name == c.Name {
			found = l
		}
	}
	if found == nil {
		found = &classQueue[S]{}
		q.classQueues = append(q.classQueues, found)
	}
	found.class = c
	sort.SliceStable(q.classQueues, func(i, j int) bool { return precedes(q.classQueues[i].class, q.classQueues[j].class) })
	return found
}

// remove removes a waiter and reports whether it was still waiting.
func (q *Queue[S]) remove(w *waiter[S]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.classQueues {
		for i, other := range l.waiters {
			if other == w {
				l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
				return true
			}
		}
	}
	return false
}

// Wake assigns free slots to waiters.
func (q *Queue[S]) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.classQueues {
		q.assignSlots(l)
	}
}

// assignSlots assigns slots to the waiters of one class until none is free; called with the lock held.
// A waiter that skips upstreams does not block those behind it, which may use a slot on those upstreams.
func (q *Queue[S]) assignSlots(l *classQueue[S]) {
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
		l.departureRate.recordDeparture(time.Now())
		w.ready <- slot
	}
	clear(l.waiters[len(kept):])
	l.waiters = kept
	if len(kept) == 0 {
		l.departureRate.skipInterval()
	}
}

// Waiting returns the number of queued requests.
func (q *Queue[S]) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, l := range q.classQueues {
		n += len(l.waiters)
	}
	return n
}
