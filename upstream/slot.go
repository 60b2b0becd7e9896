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

// Slot is the right to send one request to one upstream; Release must be called once.
type Slot struct {
	registry *Registry
	upstream *Upstream
	id       string
	address  string
	began    time.Time
}

// Availability says how the upstreams stand for a class.
type Availability int

// What Take finds.
const (
	Absent Availability = iota // no upstream serves the class
	Busy                       // some do, none has a slot free
	Free
)

// Take picks an upstream for the class, other than those skipped, and holds one of its slots.
func (r *Registry) Take(class string, skip []string) (*Slot, Availability) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.expire(now)
	found := r.bar(class, skip)
	if !found && len(skip) == 0 && now.Sub(r.started) < announcementTTL {
		return nil, Busy // those there are may not have been heard of yet
	}
	if !found {
		return nil, Absent
	}
	i := pick.Choose(r.rng, r.candidates)
	if i == pick.None {
		return nil, Busy
	}
	u := r.order[i]
	u.Own++
	return &Slot{registry: r, upstream: u, id: u.ID, address: u.Address, began: now}, Free
}

// bar marks the candidates that may not be picked and reports whether any other is left; called with the lock held.
func (r *Registry) bar(class string, skip []string) bool {
	found := false
	for _, u := range r.order {
		u.Barred = !u.serves(class) || slices.Contains(skip, u.ID)
		found = found || !u.Barred
	}
	return found
}

// ID returns the id of the slot's upstream.
func (s *Slot) ID() string {
	return s.id
}

// Address returns where the slot's upstream listens.
func (s *Slot) Address() string {
	return s.address
}

// Do sends the request over the entry's connections to the upstream; see transport.Pool.Do for its errors.
func (s *Slot) Do(ctx context.Context, r *transport.Request) (*transport.Answer, error) {
	answer, err := s.upstream.pool.Do(ctx, r)
	s.note(ctx, err)
	return answer, err
}

// note feeds the outcome to the upstream's health.
func (s *Slot) note(ctx context.Context, err error) {
	if ctx.Err() != nil && errors.Is(err, context.Cause(ctx)) {
		return
	}
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	if err == nil {
		s.upstream.Answered(time.Since(s.began))
		return
	}
	if verdict.Of(err) != verdict.NotRun || errors.Is(err, transport.ErrDial) {
		s.upstream.Failed()
		s.registry.assess(time.Now())
	}
}

// Release gives the slot back.
func (s *Slot) Release() {
	s.registry.mu.Lock()
	s.upstream.Own--
	s.registry.mu.Unlock()
	s.registry.changed()
}
