package pick

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry among which slots are divided.
type Member struct {
	Name   string
	Domain string
}

// Share is an upstream whose slots are divided.
type Share struct {
	ID     string
	Domain string
	Slots  int32
}

// Quotas divides the slots of all upstreams evenly among the entries, those of the same domain first, and returns one entry's quota at each upstream.
// Entries that know the same entries and upstreams compute the same division without communicating.
// While their views differ, a slot may be in the quota of two entries or of none, which affects only preference.
func Quotas(self Member, entries []Member, upstreams []Share) []int32 {
	d := divide(entries, upstreams)
	quotas := make([]int32, len(upstreams))
	for i, u := range upstreams {
		quotas[i] = d.quota(self, u)
	}
	return quotas
}

// division holds how the slots of each domain are divided between its own entries and others.
type division struct {
	entries       []Member
	local         map[string][]Member // entries by domain
	reservedShare map[string]float64  // fraction of a domain's slots reserved for its own entries
	deficit       map[string]float64  // slots that each entry of the domain lacks to its fair share
}

func divide(entries []Member, upstreams []Share) *division {
	entries = slices.Clone(entries)
	slices.SortFunc(entries, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	d := &division{entries: entries, local: map[string][]Member{}, reservedShare: map[string]float64{}, deficit: map[string]float64{}}
	for _, e := range entries {
		d.local[e.Domain] = append(d.local[e.Domain], e)
	}
	total, slotsByDomain := 0.0, map[string]float64{}
	for _, u := range upstreams {
		total += float64(u.Slots)
		slotsByDomain[u.Domain] += float64(u.Slots)
	}
	fairShare := total / float64(len(entries))
	for domain, local := range d.local {
		wanted := fairShare * float64(len(local))
		d.reservedShare[domain] = min(1, wanted/slotsByDomain[domain])
		d.deficit[domain] = max(0, wanted-slotsByDomain[domain]) / float64(len(local))
	}
	return d
}

// quota counts the slots of u that are assigned to the entry.
func (d *division) quota(self Member, u Share) int32 {
	local := slices.Clone(d.local[u.Domain])
	slices.SortFunc(local, func(a, b Member) int {
		if hash(a.Name, u.ID, 0) < hash(b.Name, u.ID, 0) {
			return -1
		}
		return 1
	})
	var quota int32
	localSlots := 0
	for slot := range u.Slots {
		var owner Member
		if unitInterval(hash("", u.ID, slot)) < d.reservedShare[u.Domain] {
			owner = local[localSlots%len(local)]
			localSlots++
		} else {
			owner = d.remoteOwner(u, slot)
		}
		if owner.Name == self.Name {
			quota++
		}
	}
	return quota
}

// remoteOwner assigns a slot that is not reserved for its own domain to an entry short of slots, by weighted rendezvous hashing.
func (d *division) remoteOwner(u Share, slot int32) Member {
	best, owner := 0.0, d.entries[0]
	for _, e := range d.entries {
		weight := d.deficit[e.Domain]
		score := -weight / math.Log(unitInterval(hash(e.Name, u.ID, slot)))
		if score > best {
			best, owner = score, e
		}
	}
	return owner
}

func hash(entry, upstream string, slot int32) uint64 {
	return xxhash.Sum64String(entry + "\x00" + upstream + "\x00" + string(slot))
}

// unitInterval maps a hash to the open interval (0, 1).
func unitInterval(h uint64) float64 {
	return (float64(h>>11) + 0.5) / (1 << 53)
}
