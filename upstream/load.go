package upstream

import (
	"time"

	"daisyswitch/wire"

	"github.com/cespare/xxhash/v2"
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
		}
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

// setQuotas divides each upstream's slots among the live entries of its failure domain, or among all if it has none.
// The division needs no agreement: it only orders which slots an entry takes first.
func (r *Registry) setQuotas() {
	for _, u := range r.order {
		u.Quota = r.quota(u)
	}
}

func (r *Registry) quota(u *Upstream) int32 {
	sharing := r.sharing(u.Domain)
	mine := rank(r.options.Name, u.ID)
	var ahead, count int32
	here := false
	for _, entry := range sharing {
		count++
		if entry == r.options.Name {
			here = true
		} else if rank(entry, u.ID) < mine {
			ahead++
		}
	}
	if !here {
		return 0
	}
	quota := u.Candidate.Slots / count
	if ahead < u.Candidate.Slots%count {
		quota++
	}
	return quota
}

// sharing returns the live entries of the domain, or all live ones if it has none.
func (r *Registry) sharing(domain string) []string {
	all := []string{r.options.Name}
	var near []string
	if r.options.Domain == domain {
		near = append(near, r.options.Name)
	}
	for name, l := range r.loads {
		all = append(all, name)
		if l.domain == domain {
			near = append(near, name)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// rank orders entries differently for each upstream, the same way at every entry.
func rank(entry, upstream string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + upstream)
}
