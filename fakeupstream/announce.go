package fakeupstream

import (
	"context"
	"time"

	"daisyswitch/event"
)

const (
	announcePath    = "/v1/upstreams"
	announceEvery   = time.Second
	announceTimeout = 500 * time.Millisecond
	announceRetry   = 50 * time.Millisecond // before trying the next entry after a failure
)

// announcement is the body of an upstream's POST to an entry.
type announcement struct {
	ID          string   `json:"id"`
	Address     string   `json:"address"`
	Domain      string   `json:"domain"`
	Classes     []string `json:"classes"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	Sequence    uint64   `json:"sequence"`
	Leaving     bool     `json:"leaving"`
	Instance    string   `json:"instance,omitempty"`
}

// announce announces the upstream to the entries periodically until ctx is done.
func (u *Upstream) announce(ctx context.Context) {
	var last error
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		wait := announceEvery
		err := u.announceOnce(ctx, sequence)
		if err != nil {
			wait = announceRetry
		}
		if err != nil && last == nil && ctx.Err() == nil {
			event.StandinAnnounceFailed.Error(err, "upstream", u.id)
		}
		last = err
		select {
		case <-time.After(wait):
		case <-u.wake:
		case <-ctx.Done():
		}
	}
}

func (u *Upstream) announceOnce(ctx context.Context, sequence uint64) error {
	u.mu.Lock()
	leaving := u.leaving
	u.mu.Unlock()
	err := u.client.Post(ctx, announcePath, announceTimeout, announcement{
		ID:          u.id,
		Address:     u.Address(),
		Domain:      u.options.Domain,
		Classes:     u.options.Classes,
		Slots:       u.options.Slots,
		Connections: u.options.Connections,
		Sequence:    sequence,
		Leaving:     leaving,
		Instance:    u.options.Instance,
	}, nil)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if leaving && u.leaveAcceptedAt.IsZero() {
		u.leaveAcceptedAt = time.Now()
	}
	return nil
}
