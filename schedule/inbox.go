package schedule

import (
	"sync"

	"daisyswitch/wire"
)

// item is one thing that the scheduling loop must hear; exactly one of the pointers is set, but job goes with task.
type item struct {
	configuration *wire.Configuration
	worker        *wire.WorkerRecord
	job           *wire.Job
	task          *wire.Task
	report        *wire.WorkerReport
	sample        *wire.ServiceSample
	domain        string // of the sample
}

// inbox queues items for the scheduling loop; closed, on a replica that does not lead, it drops them.
// Its lock is taken last, after any other.
type inbox struct {
	mu    sync.Mutex
	isOn  bool
	items []item
}

func (b *inbox) open() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isOn = true
	b.items = nil
}

func (b *inbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isOn = false
	b.items = nil
}

func (b *inbox) add(i item) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isOn {
		b.items = append(b.items, i)
	}
}

func (b *inbox) take() []item {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items
}

// question asks the scheduling loop why tasks of a job wait.
type question struct {
	job     string
	indexes []int32
	answer  chan []string // buffered
}

// questions queues questions for the scheduling loop.
type questions struct {
	mu    sync.Mutex
	items []question
}

func (q *questions) add(item question) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, item)
}

func (q *questions) take() []question {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}
