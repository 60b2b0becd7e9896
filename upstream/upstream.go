package upstream

import (
	"slices"
	"time"

	"daisyswitch/pick"
	"daisyswitch/transport"
)

// Upstream is one upstream as the entry knows it; its fields belong to the registry's lock.
type Upstream struct {
	Announcement
	pick.Candidate
	pool  *transport.Pool
	heard time.Time // when it last spoke, by this entry's clock, never too late
	out   bool      // its failure domain is out of service
}

func newUpstream(a *Announcement, heard time.Time, o transport.Options) *Upstream {
	return &Upstream{
		Announcement: *a,
		Candidate:    pick.Candidate{Slots: a.Slots, Health: pick.Health{Slowness: 1}},
		pool:         transport.New(a.Address, 0, o),
		heard:        heard,
	}
}

// supersedes reports whether what is known of the upstream goes before a.
func (u *Upstream) supersedes(a *Announcement, heard time.Time) bool {
	if a.Sequence != u.Sequence {
		return a.Sequence < u.Sequence
	}
	return !heard.After(u.heard) && a.Leaving == u.Leaving
}

// renew takes a newer word; the address of a running upstream stays, and one that leaves never comes back under its id.
func (u *Upstream) renew(a *Announcement, heard time.Time) {
	address := u.Address
	leaving := u.Leaving
	u.Announcement = *a
	u.Address = address
	u.Leaving = leaving || a.Leaving
	u.heard = heard
}

func (u *Upstream) serves(class string) bool {
	return !u.Leaving && !u.out && slices.Contains(u.Classes, class)
}
