package watch

import (
	"sync"

	"daisyswitch/event"
	"daisyswitch/wire"
)

// Holder keeps the newest configuration that has reached the process.
type Holder struct {
	applied func(*wire.Configuration)

	mu      sync.Mutex
	current *wire.Configuration
}

// NewHolder returns an empty holder that calls applied, in order of version, for each configuration it takes.
func NewHolder(applied func(*wire.Configuration)) *Holder {
	return &Holder{applied: applied}
}

// Offer takes c if it is newer than all before and reports whether it did.
func (h *Holder) Offer(c *wire.Configuration, source string) bool {
	if c == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && c.Version <= h.current.Version {
		return false
	}
	h.current = c
	h.applied(c)
	event.ConfigurationApplied.Info("version", c.Version, "source", source)
	return true
}

// Current returns the configuration in force, nil before the first.
func (h *Holder) Current() *wire.Configuration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Version returns the version in force, 0 before the first.
func (h *Holder) Version() uint64 {
	return h.Current().GetVersion()
}
