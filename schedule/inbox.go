package schedule

import (
	"sync"

	"daisyswitch/wire"
)

// update is one input of the scheduling loop. Exactly one of the pointers is set, except that job is set together with task.
type update struct {
	configuration *wire.Configuration
	worker        *wire.WorkerRecord
	job           *wire.Job
	task          *wire.Task
	report        *wire.WorkerReport
	sample        *wire.ServiceSample
	domain        string // failure domain of the sample
}

// reasonRequest asks the scheduling loop why tasks of a job wait.
type reasonRequest struct {
	job     string
	indexes []int32
	answer  chan []string // buffered, so that the loop never blocks on it
}

// mailbox queues messages from other goroutines for the scheduling loop. While closed, on a replica that does not lead, it drops them.
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

func (b *mailbox[T]) drain() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items
}
