package main

import (
	"strings"
	"sync"
	"time"
)

// awayTasks tracks which lasting tasks are away because an order to stop ended them while they were at work.
type awayTasks struct {
	mu      sync.Mutex
	stopped map[string]time.Duration // by task, since when
	broken  []string
	limit   map[string]int // by step, how many may be away at a time
}

// returned notes that a task is at work.
func (a *awayTasks) returned(task string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.stopped, task)
}

// ended notes that an order ended a task that was at work, and returns the tasks of its step that orders had ended before and that have not returned, if they are as many as may be away.
func (a *awayTasks) ended(task string, at time.Duration) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	limit, limited := a.limit[step]
	var others []string
	for other := range a.stopped {
		if strings.HasPrefix(other, step+".") && other != task {
			others = append(others, other)
		}
	}
	if a.stopped == nil {
		a.stopped = map[string]time.Duration{}
	}
	a.stopped[task] = at
	if !limited || len(others) < limit {
		return nil
	}
	a.broken = append(a.broken, task)
	return others
}

// setLimit sets how many tasks of a step may be away at a time.
func (a *awayTasks) setLimit(step string, limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit == nil {
		a.limit = map[string]int{}
	}
	a.limit[step] = limit
}

// count returns how many tasks were ended beyond the limit.
func (a *awayTasks) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.broken)
}
