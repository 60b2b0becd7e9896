package control

import "sync"

// watchers notifies every open watch when a configuration is accepted.
type watchers struct {
	mu       sync.Mutex
	channels map[chan struct{}]bool
	closed   bool
}

func newWatchers() *watchers {
	return &watchers{channels: map[chan struct{}]bool{}}
}

func (w *watchers) add() (<-chan struct{}, func()) {
	updates := make(chan struct{}, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		close(updates)
		return updates, func() {}
	}
	w.channels[updates] = true
	return updates, func() { w.remove(updates) }
}

func (w *watchers) remove(updates chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.channels, updates)
}

func (w *watchers) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for updates := range w.channels {
		select {
		case updates <- struct{}{}:
		default:
		}
	}
}

func (w *watchers) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for updates := range w.channels {
		close(updates)
	}
	w.channels = map[chan struct{}]bool{}
}
