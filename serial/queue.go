package serial

import (
	"context"
	"sync"
)

// Queue holds tasks until Run executes them; it is unbounded, so that Push never blocks.
type Queue struct {
	mu    sync.Mutex
	tasks []func()
	wake  chan struct{}
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{wake: make(chan struct{}, 1)}
}

// Push appends a task to the queue.
func (q *Queue) Push(task func()) {
	q.mu.Lock()
	q.tasks = append(q.tasks, task)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Run executes tasks in the order in which they were pushed until ctx ends; tasks left then are not run.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for _, task := range q.takeTasks() {
			if ctx.Err() != nil {
				return
			}
			task()
		}
	}
}

func (q *Queue) takeTasks() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	tasks := q.tasks
	q.tasks = nil
	return tasks
}
