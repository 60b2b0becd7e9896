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

// question asks the scheduling loop why tasks of a job wait.
type question struct {
	job     string
	indexes []int32
	answer  chan []string // buffered
}

// mailbox queues what others send to the scheduling loop; closed, on a replica that does not lead, it drops everything.
type mailbox[T any] struct {
	mu     sync.Mutex
	isOpen bool
	items  []T
}

func (b *mailbox[T]) open() {
	b.set(true)
}

func (b *mailbox[T]) close() {
	b.set(false)
}

func (b *mailbox[T]) set(isOpen bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isOpen = isOpen
	b.items = nil
}

func (b *mailbox[T]) add(item T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isOpen {
		b.items = append(b.items, item)
	}
}

func (b *mailbox[T]) take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items
}
