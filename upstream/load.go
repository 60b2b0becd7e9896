package upstream

import (
	"time"

	"daisyswitch/pick"
	"daisyswitch/wire"
)

// entryLoads is the load last reported by another entry.
type entryLoads struct {
	domain     string
	receivedAt time.Time
	inFlight   map[string]int32 // by upstream
}

// Loads returns this entry's load on each upstream to which it has requests or connections.
func (r *Registry) Loads() []*wire.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*wire.Load
	for _, u := range r.sorted {
		open := int32(u.pool.Open())
		if u.OwnInFlight > 0 || open > 0 {
			list = append(list, &wire.Load{Id: u.ID, InFlight: u.OwnInFlight, Connections: open})
		}
	}
	return list
}

// SetLoads stores the loads reported by another entry. A report also keeps that entry among those that share the slots.
func (r *Registry) SetLoads(entry, domain string, now time.Time, loads []*wire.Load) {
	l := &entryLoads{domain: domain, receivedAt: now, inFlight: make(map[string]int32, len(loads))}
	for _, load := range loads {
		l.inFlight[load.GetId()] = max(load.GetInFlight(), 0)
	}
	r.mu.Lock()
	known := r.loads[entry]
	r.loads[entry] = l
	r.scheduleExpiry(now.Add(loadTTL))
	r.updateOthers()
	if known == nil || known.domain != domain {
		r.setQuotas()
	}
	r.mu.Unlock()
	r.changed()
}

// expireLoads removes entries whose last report has expired; called with the lock held.
func (r *Registry) expireLoads(now time.Time) {
	removed := false
	for entry, l := range r.loads {
		if now.Sub(l.receivedAt) > loadTTL {
			delete(r.loads, entry)
			removed = true
			continue
		}
		r.scheduleExpiry(l.receivedAt.Add(loadTTL))
	}
	if removed {
		r.updateOthers()
		r.setQuotas()
	}
}

func (r *Registry) updateOthers() {
	for _, u := range r.sorted {
		u.OthersInFlight = r.othersInFlight(u.ID)
	}
}

func (r *Registry) othersInFlight(id string) int32 {
	var sum int32
	for _, l := range r.loads {
		sum += l.inFlight[id]
	}
	return sum
}

// setQuotas divides the slots of the upstreams that accept requests among the live entries; called with the lock held.
func (r *Registry) setQuotas() {
	self := pick.Member{Name: r.options.Name, Domain: r.options.Domain}
	entries := []pick.Member{self}
	for name, l := range r.loads {
		entries = append(entries, pick.Member{Name: name, Domain: l.domain})
	}
	var sharing []*Upstream
	var shares []pick.Share
	for _, u := range r.sorted {
		u.Quota = 0
		if !u.Leaving && !u.domainOut {
			sharing = append(sharing, u)
			shares = append(shares, pick.Share{ID: u.ID, Domain: u.Domain, Slots: u.Candidate.Slots})
		}
	}
	for i, quota := range pick.Quotas(self, entries, shares) {
		sharing[i].Quota = quota
	}
}
