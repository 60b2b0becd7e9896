package upstream

import (
	"time"

	"daisyswitch/pick"
	"daisyswitch/wire"
)

// entryLoads is what another entry last reported.
type entryLoads struct {
	domain   string
	at       time.Time
	inFlight map[string]int32 // by upstream
}

// Loads returns this entry's own load on each upstream that it uses.
func (r *Registry) Loads() []*wire.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*wire.Load
	for _, u := range r.order {
		open := int32(u.pool.Open())
		if u.Own > 0 || open > 0 {
			list = append(list, &wire.Load{Id: u.ID, InFlight: u.Own, Connections: open})
		}
	}
	return list
}

// SetLoads takes the loads of another entry, which also tells that the entry lives.
func (r *Registry) SetLoads(entry, domain string, now time.Time, loads []*wire.Load) {
	l := &entryLoads{domain: domain, at: now, inFlight: make(map[string]int32, len(loads))}
	for _, load := range loads {
		l.inFlight[load.GetId()] = max(load.GetInFlight(), 0)
	}
	r.mu.Lock()
	known := r.loads[entry]
	r.loads[entry] = l
	r.expectExpiry(now.Add(loadTTL))
	r.countOthers()
	if known == nil || known.domain != domain {
		r.setQuotas()
	}
	r.mu.Unlock()
	r.changed()
}

// expireLoads forgets entries that went silent; called with the lock held.
func (r *Registry) expireLoads(now time.Time) {
	removed := false
	for entry, l := range r.loads {
		if now.Sub(l.at) > loadTTL {
			delete(r.loads, entry)
			removed = true
			continue
		}
		r.expectExpiry(l.at.Add(loadTTL))
	}
	if removed {
		r.countOthers()
		r.setQuotas()
	}
}

func (r *Registry) countOthers() {
	for _, u := range r.order {
		u.Others = r.othersOf(u.ID)
	}
}

func (r *Registry) othersOf(id string) int32 {
	var sum int32
	for _, l := range r.loads {
		sum += l.inFlight[id]
	}
	return sum
}

// setQuotas divides the slots of the upstreams that take requests among the live entries; called with the lock held.
func (r *Registry) setQuotas() {
	self := pick.Member{Name: r.options.Name, Domain: r.options.Domain}
	entries := []pick.Member{self}
	for name, l := range r.loads {
		entries = append(entries, pick.Member{Name: name, Domain: l.domain})
	}
	var sharing []*Upstream
	var shares []pick.Share
	for _, u := range r.order {
		u.Quota = 0
		if !u.Leaving && !u.out {
			sharing = append(sharing, u)
			shares = append(shares, pick.Share{ID: u.ID, Domain: u.Domain, Slots: u.Candidate.Slots})
		}
	}
	for i, quota := range pick.Quotas(self, entries, shares) {
		sharing[i].Quota = quota
	}
}
