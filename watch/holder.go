package watch

import (
	"sync"

	"daisyswitch/event"
	"daisyswitch/wire"
)

// Holder holds the newest configuration that the process has received.
type Holder struct {
	applied func(*wire.Configuration)

	mu      sync.Mutex
	current *wire.Configuration
}

// NewHolder returns an empty holder that calls applied, in order of version, for each configuration it accepts.
func NewHolder(applied func(*wire.Configuration)) *Holder {
	return &Holder{applied: applied}
}

// Offer accepts c if it is newer than the current configuration and reports whether it was accepted.
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

// Current returns the active configuration, nil before the first.
func (h *Holder) Current() *wire.Configuration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Version returns the active version, 0 before the first.
func (h *Holder) Version() uint64 {
	return h.Current().GetVersion()
}
