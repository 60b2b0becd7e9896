package upstream

import (
	"slices"
	"time"

	"daisyswitch/pick"
	"daisyswitch/transport"
)

// Upstream is the state of one upstream at this entry; its fields are guarded by the registry's lock.
type Upstream struct {
	Announcement
	pick.Candidate
	pool        *transport.Pool
	announcedAt time.Time // when the last announcement was sent, by this entry's clock, or earlier
	domainOut   bool      // its failure domain is out of service
}

func newUpstream(a *Announcement, announcedAt time.Time, o transport.Options) *Upstream {
	return &Upstream{
		Announcement: *a,
		Candidate:    pick.Candidate{Slots: a.Slots, Health: pick.Health{Slowness: 1}},
		pool:         transport.New(a.Address, 0, o),
		announcedAt:  announcedAt,
	}
}

// supersedes reports whether the known announcement is at least as recent as a, so that a is ignored.
func (u *Upstream) supersedes(a *Announcement, announcedAt time.Time) bool {
	if a.Sequence != u.Sequence {
		return a.Sequence < u.Sequence
	}
	return !announcedAt.After(u.announcedAt) && a.Leaving == u.Leaving
}

// update applies a newer announcement. The address never changes, and an upstream that is leaving never returns under the same ID.
func (u *Upstream) update(a *Announcement, announcedAt time.Time) {
	address := u.Address
	leaving := u.Leaving
	u.Announcement = *a
	u.Address = address
	u.Leaving = leaving || a.Leaving
	u.announcedAt = announcedAt
}

func (u *Upstream) serves(class string) bool {
	return !u.Leaving && !u.domainOut && slices.Contains(u.Classes, class)
}
