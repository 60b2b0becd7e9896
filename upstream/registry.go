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
	announcementTTL  = 3 * time.Second
	maintainInterval = 200 * time.Millisecond
	tombstoneTTL     = 60 * time.Second // how long a removed or leaving upstream is remembered, so that an older announcement cannot add it again
	loadTTL          = 3 * time.Second  // after which another entry's reported loads and its quotas expire
)

// Options identifies the entry and configures its connections; zero values of Transport take its defaults.
type Options struct {
	Name      string // of this entry
	Domain    string // of this entry
	Entries   int    // number of configured entries including this one, at least 1
	Seed      uint64 // seed for breaking ties between equal candidates
	Transport transport.Options
}

// Registry holds the upstreams known to an entry. Its lock is acquired before those of the connection pools.
type Registry struct {
	options Options
	changed func()

	mu             sync.Mutex
	rng            *rand.Rand
	upstreams      map[string]*Upstream // by id
	sorted         []*Upstream          // sorted by id, so that selection is deterministic
	candidates     []*pick.Candidate    // in the order of sorted
	tombstones     map[string]tombstone // removed upstreams, by id
	loads          map[string]*entryLoads
	entries        int
	configuration  *wire.Configuration
	lastMaintained time.Time
	nextExpiry     time.Time // no announcement or load report expires before this time
	started        time.Time
	closed         bool
}

// New returns an empty registry.
func New(o Options) *Registry {
	return &Registry{
		options:    o,
		rng:        rand.New(rand.NewPCG(o.Seed, 0)),
		upstreams:  map[string]*Upstream{},
		tombstones: map[string]tombstone{},
		loads:      map[string]*entryLoads{},
		changed:    func() {},
		entries:    max(o.Entries, 1),
		started:    time.Now(),
	}
}

// SetChanged sets the callback for when a slot may have become free. It is called without locks held and must be set before the registry is used.
func (r *Registry) SetChanged(changed func()) {
	r.changed = changed
}

// SetEntries sets the number of configured entries, which limits the connections of each.
// It counts all configured entries, not only the live ones, because the limit must also hold during a network partition.
func (r *Registry) SetEntries(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = max(n, 1)
	for _, u := range r.sorted {
		r.setLimit(u)
	}
}

// SetConfiguration applies which domains are out of service from a committed configuration; an older version is ignored.
func (r *Registry) SetConfiguration(c *wire.Configuration) {
	r.mu.Lock()
	if c.GetVersion() >= r.configuration.GetVersion() {
		r.configuration = c
		for _, u := range r.sorted {
			u.domainOut = r.isDomainOut(u.Domain)
		}
		r.setQuotas()
	}
	r.mu.Unlock()
	r.changed()
}

// isDomainOut reports whether the domain is out of service; called with the lock held.
func (r *Registry) isDomainOut(domain string) bool {
	for _, d := range r.configuration.GetDomains() {
		if d.GetName() == domain {
			return d.GetOut()
		}
	}
	return false
}

// Announce applies an announcement received from the upstream itself at now.
func (r *Registry) Announce(now time.Time, a *Announcement) {
	r.mu.Lock()
	r.applyAnnouncement(now, now, a)
	r.mu.Unlock()
	r.changed()
}

// Merge applies announcements relayed by another entry.
// Their ages don't include the network delay. Therefore asked must be a time before the other entry built its message, such as when this one requested it.
func (r *Registry) Merge(asked time.Time, relayed []*wire.Announcement) {
	r.mu.Lock()
	now := time.Now()
	for _, m := range relayed {
		a := fromWire(m)
		if a.validate() == nil && m.GetAgeMs() >= 0 {
			r.applyAnnouncement(now, asked.Add(-time.Duration(m.GetAgeMs())*time.Millisecond), a)
		}
	}
	r.mu.Unlock()
	r.changed()
}

// Announcements returns all known announcements with their ages at now, including those of leaving upstreams.
func (r *Registry) Announcements(now time.Time) []*wire.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	list := make([]*wire.Announcement, 0, len(r.sorted))
	for _, u := range r.sorted {
		age := now.Sub(u.announcedAt).Milliseconds() + 1 // rounded up, since an age must never be understated
		list = append(list, u.wire(age))
	}
	return list
}

// applyAnnouncement applies an announcement that the upstream sent at announcedAt; called with the lock held.
func (r *Registry) applyAnnouncement(now, announcedAt time.Time, a *Announcement) {
	r.expire(now)
	u := r.upstreams[a.ID]
	switch {
	case u != nil && u.supersedes(a, announcedAt):
		return
	case u != nil:
		u.update(a, announcedAt)
		if u.Leaving {
			r.setQuotas()
		}
	case now.Sub(announcedAt) > announcementLifetime(a), r.closed, r.alreadyExpired(a, announcedAt.Before(now)), r.losesAddress(a, announcedAt):
		return
	default:
		u = r.addUpstream(a, announcedAt)
	}
	r.setLimit(u)
	r.scheduleExpiry(u.announcedAt.Add(announcementLifetime(&u.Announcement)))
}

// losesAddress resolves two upstreams with the same address in favor of the later announcement and marks the other as leaving.
// It reports whether the later announcement is not a.
func (r *Registry) losesAddress(a *Announcement, announcedAt time.Time) bool {
	for _, u := range r.sorted {
		if u.Address != a.Address {
			continue
		}
		if !u.Leaving && u.announcedAt.After(announcedAt) {
			return true
		}
		u.Leaving = true
	}
	return false
}

func (r *Registry) addUpstream(a *Announcement, announcedAt time.Time) *Upstream {
	u := newUpstream(a, announcedAt, r.options.Transport)
	u.OthersInFlight = r.othersInFlight(a.ID)
	u.domainOut = r.isDomainOut(a.Domain)
	r.upstreams[a.ID] = u
	r.rebuildSorted()
	event.UpstreamAdded.Info("upstream", a.ID, "address", a.Address, "domain", a.Domain)
	return u
}

// tombstone remembers a removed upstream. It prevents a delayed older announcement from adding the upstream again.
type tombstone struct {
	sequence  uint64
	removedAt time.Time
}

// alreadyExpired reports whether a newer announcement of the upstream, or the same one if a is relayed, has already expired; called with the lock held.
func (r *Registry) alreadyExpired(a *Announcement, relayed bool) bool {
	last, known := r.tombstones[a.ID]
	return known && (a.Sequence < last.sequence || relayed && a.Sequence == last.sequence)
}

// expire removes upstreams and load reports that were not renewed in time; called with the lock held.
func (r *Registry) expire(now time.Time) {
	r.maintain(now)
	if !now.After(r.nextExpiry) {
		return
	}
	r.nextExpiry = now.Add(announcementTTL)
	removed := false
	for id, u := range r.upstreams {
		expiry := u.announcedAt.Add(announcementLifetime(&u.Announcement))
		if now.After(expiry) {
			u.pool.Close()
			delete(r.upstreams, id)
			removed = true
			r.tombstones[id] = tombstone{sequence: u.Sequence, removedAt: now}
			event.UpstreamRemoved.Info("upstream", id, "leaving", u.Leaving)
			continue
		}
		r.scheduleExpiry(expiry)
	}
	if removed {
		r.rebuildSorted()
	}
	r.expireLoads(now)
}

// scheduleExpiry ensures that the next check for expired state is no later than the given time; called with the lock held.
func (r *Registry) scheduleExpiry(at time.Time) {
	if at.Before(r.nextExpiry) {
		r.nextExpiry = at
	}
}

// maintain assesses the upstreams' health, removes old tombstones and closes old idle connections a few times a second; called with the lock held.
func (r *Registry) maintain(now time.Time) {
	if now.Sub(r.lastMaintained) < maintainInterval {
		return
	}
	r.lastMaintained = now
	for id, last := range r.tombstones {
		if now.Sub(last.removedAt) > tombstoneTTL {
			delete(r.tombstones, id)
		}
	}
	r.assess(now)
	for _, u := range r.sorted {
		u.pool.Prune(now)
	}
}

// assess ejects and readmits upstreams; called with the lock held.
func (r *Registry) assess(now time.Time) {
	for _, change := range pick.Assess(now, r.candidates) {
		u := r.sorted[change.Index]
		if change.Ejected {
			event.UpstreamEjected.Info("upstream", u.ID, "failures", u.Failures, "latency", u.Latency)
		} else {
			event.UpstreamReadmitted.Info("upstream", u.ID)
		}
	}
}

func announcementLifetime(a *Announcement) time.Duration {
	if a.Leaving {
		return tombstoneTTL
	}
	return announcementTTL
}

// rebuildSorted rebuilds the sorted list, the candidates and the quotas; called with the lock held.
func (r *Registry) rebuildSorted() {
	r.sorted = r.sorted[:0:0]
	for _, u := range r.upstreams {
		r.sorted = append(r.sorted, u)
	}
	sort.Slice(r.sorted, func(i, j int) bool { return r.sorted[i].ID < r.sorted[j].ID })
	r.candidates = r.candidates[:0:0]
	for _, u := range r.sorted {
		r.candidates = append(r.candidates, &u.Candidate)
	}
	r.setQuotas()
}

// setLimit sets this entry's share of an upstream's connections; called with the lock held.
func (r *Registry) setLimit(u *Upstream) {
	limit := u.Connections / int32(r.entries)
	u.Limit = limit
	u.Candidate.Slots = u.Announcement.Slots
	u.pool.SetLimit(int(limit))
}

// Close removes all upstreams and closes idle connections; exchanges in progress are not interrupted.
func (r *Registry) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for id, u := range r.upstreams {
		u.pool.Close()
		delete(r.upstreams, id)
	}
	r.rebuildSorted()
}
