package upstream

import (
	"context"
	"errors"
	"slices"
	"time"

	"daisyswitch/pick"
	"daisyswitch/transport"
	"daisyswitch/verdict"
)

// Slot is the permission to send one request to one upstream. Release must be called exactly once.
type Slot struct {
	registry  *Registry
	upstream  *Upstream
	id        string
	address   string
	startedAt time.Time
}

// Availability describes whether a slot was available for a class.
type Availability int

// Results of Take.
const (
	Absent Availability = iota // no upstream serves the class
	Busy                       // upstreams serve the class, but none has a free slot
	Free
)

// Take selects an upstream for the class, other than those skipped, and reserves one of its slots.
func (r *Registry) Take(class string, skip []string) (*Slot, Availability) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.expire(now)
	found := r.markIneligible(class, skip)
	if !found && len(skip) == 0 && now.Sub(r.started) < announcementTTL {
		return nil, Busy // existing upstreams may not have announced themselves yet
	}
	if !found {
		return nil, Absent
	}
	i := pick.Choose(r.rng, r.candidates)
	if i == pick.None {
		return nil, Busy
	}
	u := r.sorted[i]
	u.OwnInFlight++
	return &Slot{registry: r, upstream: u, id: u.ID, address: u.Address, startedAt: now}, Free
}

// markIneligible marks the candidates that are not eligible and reports whether any eligible one is left; called with the lock held.
func (r *Registry) markIneligible(class string, skip []string) bool {
	found := false
	for _, u := range r.sorted {
		u.Ineligible = !u.serves(class) || slices.Contains(skip, u.ID)
		found = found || !u.Ineligible
	}
	return found
}

// ID returns the ID of the slot's upstream.
func (s *Slot) ID() string {
	return s.id
}

// Address returns the address of the slot's upstream.
func (s *Slot) Address() string {
	return s.address
}

// Do sends the request over the entry's connections to the upstream; see transport.Pool.Do for its errors.
func (s *Slot) Do(ctx context.Context, r *transport.Request) (*transport.Answer, error) {
	answer, err := s.upstream.pool.Do(ctx, r)
	s.recordResult(ctx, err)
	return answer, err
}

// recordResult records the outcome in the upstream's health.
func (s *Slot) recordResult(ctx context.Context, err error) {
	if ctx.Err() != nil && errors.Is(err, context.Cause(ctx)) {
		return
	}
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	if err == nil {
		s.upstream.RecordResponse(time.Since(s.startedAt))
		return
	}
	if verdict.Of(err) != verdict.NotRun || errors.Is(err, transport.ErrDial) {
		s.upstream.RecordFailure()
		s.registry.assess(time.Now())
	}
}

// Release releases the slot.
func (s *Slot) Release() {
	s.registry.mu.Lock()
	s.upstream.OwnInFlight--
	s.registry.mu.Unlock()
	s.registry.changed()
}
