package upstream

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"daisyswitch/event"
	"daisyswitch/pick"
	"daisyswitch/transport"
	"daisyswitch/wire"
)

const (
	announcementTTL = 3 * time.Second
	maintainEvery   = 200 * time.Millisecond
	tombstoneTTL    = 60 * time.Second // how long a leaving upstream is remembered, so that an older word cannot bring it back
	loadTTL         = 3 * time.Second  // after which another entry's loads, and its share of the slots, are forgotten
)

// Options says who the entry is and how it connects; zero values take the defaults.
type Options struct {
	Name      string // of this entry
	Domain    string // of this entry
	Entries   int    // configured entries, this one included; at least 1
	Seed      uint64 // of ties between equal candidates
	Transport transport.Options
}

// Registry holds the upstreams that an entry knows. Its lock comes before those of the pools.
type Registry struct {
	options Options
	changed func()

	mu            sync.Mutex
	rng           *rand.Rand
	upstreams     map[string]*Upstream // by id
	order         []*Upstream          // by id, for stable picking
	candidates    []*pick.Candidate    // of order
	expired       map[string]lastWord  // upstreams that went silent, by id
	loads         map[string]*entryLoads
	entries       int
	configuration *wire.Configuration
	maintained    time.Time
	nextExpiry    time.Time // no word expires before
	started       time.Time
	closed        bool
}

// New returns an empty registry.
func New(o Options) *Registry {
	return &Registry{
		options:   o,
		rng:       rand.New(rand.NewPCG(o.Seed, 0)),
		upstreams: map[string]*Upstream{},
		expired:   map[string]lastWord{},
		loads:     map[string]*entryLoads{},
		changed:   func() {},
		entries:   max(o.Entries, 1),
		started:   time.Now(),
	}
}

// SetChanged sets what is called, without locks held, when an upstream may have become free; it must be set before the registry is used.
func (r *Registry) SetChanged(changed func()) {
	r.changed = changed
}

// SetEntries says how many entries are configured, which bounds the connections of each.
// The count is of all configured entries, not of those heard of: the bound must also hold while a cut hides some.
func (r *Registry) SetEntries(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = max(n, 1)
	for _, u := range r.order {
		r.setLimit(u)
	}
}

// SetConfiguration takes the domains out from an accepted configuration; an older version is ignored.
func (r *Registry) SetConfiguration(c *wire.Configuration) {
	r.mu.Lock()
	if c.GetVersion() >= r.configuration.GetVersion() {
		r.configuration = c
		for _, u := range r.order {
			u.out = r.isOut(u.Domain)
		}
		r.setQuotas()
	}
	r.mu.Unlock()
	r.changed()
}

// isOut is called with the lock held.
func (r *Registry) isOut(domain string) bool {
	for _, d := range r.configuration.GetDomains() {
		if d.GetName() == domain {
			return d.GetOut()
		}
	}
	return false
}

// Announce takes an upstream's own word at the time that it arrived.
func (r *Registry) Announce(now time.Time, a *Announcement) {
	r.mu.Lock()
	r.accept(now, now, a)
	r.mu.Unlock()
	r.changed()
}

// Merge takes announcements relayed by another entry.
// Since ages say nothing of the time on the way, asked must be a time before the other entry wrote its message, such as when this one asked for it.
func (r *Registry) Merge(asked time.Time, relayed []*wire.Announcement) {
	r.mu.Lock()
	now := time.Now()
	for _, m := range relayed {
		a := fromWire(m)
		if a.check() == nil && m.GetAgeMs() >= 0 {
			r.accept(now, asked.Add(-time.Duration(m.GetAgeMs())*time.Millisecond), a)
		}
	}
	r.mu.Unlock()
	r.changed()
}

// Announcements returns what is known with its age at now, leaving upstreams included.
func (r *Registry) Announcements(now time.Time) []*wire.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	list := make([]*wire.Announcement, 0, len(r.order))
	for _, u := range r.order {
		age := now.Sub(u.heard).Milliseconds() + 1 // rounded up, since an age must never be too small
		list = append(list, u.wire(age))
	}
	return list
}

// accept is called with the lock held; heard is when the upstream itself spoke.
func (r *Registry) accept(now, heard time.Time, a *Announcement) {
	r.expire(now)
	u := r.upstreams[a.ID]
	switch {
	case u != nil && u.supersedes(a, heard):
		return
	case u != nil:
		u.renew(a, heard)
		if u.Leaving {
			r.setQuotas()
		}
	case now.Sub(heard) > ttl(a), r.closed, r.tooOld(a, heard.Before(now)), r.replaced(a, heard):
		return
	default:
		u = r.add(a, heard)
	}
	r.setLimit(u)
	r.expectExpiry(u.heard.Add(ttl(&u.Announcement)))
}

// replaced settles which of two upstreams has an address: the one heard of last. It reports whether that is not a.
func (r *Registry) replaced(a *Announcement, heard time.Time) bool {
	for _, u := range r.order {
		if u.Address != a.Address {
			continue
		}
		if !u.Leaving && u.heard.After(heard) {
			return true
		}
		u.Leaving = true
	}
	return false
}

func (r *Registry) add(a *Announcement, heard time.Time) *Upstream {
	u := newUpstream(a, heard, r.options.Transport)
	u.Others = r.othersOf(a.ID)
	u.out = r.isOut(a.Domain)
	r.upstreams[a.ID] = u
	r.reorder()
	event.UpstreamAdded.Info("upstream", a.ID, "address", a.Address, "domain", a.Domain)
	return u
}

// lastWord is what is remembered of an upstream that went silent, so that no word from before, held up on its way, brings it back.
type lastWord struct {
	sequence uint64
	at       time.Time
}

// tooOld reports whether a newer word of the same upstream, or the same one relayed, has already expired; called with the lock held.
func (r *Registry) tooOld(a *Announcement, relayed bool) bool {
	last, known := r.expired[a.ID]
	return known && (a.Sequence < last.sequence || relayed && a.Sequence == last.sequence)
}

// expire forgets what was not renewed in time; called with the lock held.
func (r *Registry) expire(now time.Time) {
	r.maintain(now)
	if !now.After(r.nextExpiry) {
		return
	}
	r.nextExpiry = now.Add(announcementTTL)
	removed := false
	for id, u := range r.upstreams {
		expiry := u.heard.Add(ttl(&u.Announcement))
		if now.After(expiry) {
			u.pool.Close()
			delete(r.upstreams, id)
			removed = true
			r.expired[id] = lastWord{sequence: u.Sequence, at: now}
			event.UpstreamRemoved.Info("upstream", id, "leaving", u.Leaving)
			continue
		}
		r.expectExpiry(expiry)
	}
	if removed {
		r.reorder()
	}
	r.expireLoads(now)
}

// expectExpiry makes sure that the next look for expired words is not after the given time; called with the lock held.
func (r *Registry) expectExpiry(at time.Time) {
	if at.Before(r.nextExpiry) {
		r.nextExpiry = at
	}
}

// maintain compares the upstreams' health and closes old idle connections, a few times a second; called with the lock held.
func (r *Registry) maintain(now time.Time) {
	if now.Sub(r.maintained) < maintainEvery {
		return
	}
	r.maintained = now
	for id, last := range r.expired {
		if now.Sub(last.at) > tombstoneTTL {
			delete(r.expired, id)
		}
	}
	r.assess(now)
	for _, u := range r.order {
		u.pool.Prune(now)
	}
}

// assess ejects and readmits upstreams; called with the lock held.
func (r *Registry) assess(now time.Time) {
	for _, change := range pick.Assess(now, r.candidates) {
		u := r.order[change.Index]
		if change.Ejected {
			event.UpstreamEjected.Info("upstream", u.ID, "failures", u.Failures, "latency", u.Latency)
		} else {
			event.UpstreamReadmitted.Info("upstream", u.ID)
		}
	}
}

func ttl(a *Announcement) time.Duration {
	if a.Leaving {
		return tombstoneTTL
	}
	return announcementTTL
}

// reorder rebuilds the list of candidates and the shares of slots; called with the lock held.
func (r *Registry) reorder() {
	r.order = r.order[:0:0]
	for _, u := range r.upstreams {
		r.order = append(r.order, u)
	}
	sort.Slice(r.order, func(i, j int) bool { return r.order[i].ID < r.order[j].ID })
	r.candidates = r.candidates[:0:0]
	for _, u := range r.order {
		r.candidates = append(r.candidates, &u.Candidate)
	}
	r.setQuotas()
}

// setLimit gives the entry its share of an upstream's connections; called with the lock held.
func (r *Registry) setLimit(u *Upstream) {
	limit := u.Connections / int32(r.entries)
	u.Limit = limit
	u.Candidate.Slots = u.Announcement.Slots
	u.pool.SetLimit(int(limit))
}

// Close forgets all upstreams and closes idle connections; exchanges in progress end by themselves.
func (r *Registry) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for id, u := range r.upstreams {
		u.pool.Close()
		delete(r.upstreams, id)
	}
	r.reorder()
}
