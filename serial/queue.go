package serial

import (
	"context"
	"sync"
)

// Queue holds tasks until Run has run them; it has no bound, so that Push never waits.
type Queue struct {
	mu    sync.Mutex
	tasks []func()
	wake  chan struct{}
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{wake: make(chan struct{}, 1)}
}

// Push adds a task behind all others.
func (q *Queue) Push(task func()) {
	q.mu.Lock()
	q.tasks = append(q.tasks, task)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Run runs tasks in the order of their pushes until ctx ends; what is left then is not run.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for _, task := range q.take() {
			if ctx.Err() != nil {
				return
			}
			task()
		}
	}
}

func (q *Queue) take() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	tasks := q.tasks
	q.tasks = nil
	return tasks
}
