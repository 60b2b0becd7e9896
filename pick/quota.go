package pick

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry that takes part in the division of slots.
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

// Quotas divides the slots of all upstreams evenly among the entries, near ones first, and returns the part of one entry at each upstream.
// Every entry that knows the same entries and upstreams finds the same division, without a word between them;
// where they differ for a moment, a slot is only preferred by two entries, or by none.
func Quotas(of Member, entries []Member, upstreams []Share) []int32 {
	d := divide(entries, upstreams)
	quotas := make([]int32, len(upstreams))
	for i, u := range upstreams {
		quotas[i] = d.quota(of, u)
	}
	return quotas
}

// division holds what an entry's fair part is and how far each domain's own slots go towards it.
type division struct {
	entries []Member
	near    map[string][]Member
	keep    map[string]float64 // share of a domain's slots that its own entries keep
	lacking map[string]float64 // slots that an entry of the domain is short of
}

func divide(entries []Member, upstreams []Share) *division {
	entries = slices.Clone(entries)
	slices.SortFunc(entries, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	d := &division{entries: entries, near: map[string][]Member{}, keep: map[string]float64{}, lacking: map[string]float64{}}
	for _, e := range entries {
		d.near[e.Domain] = append(d.near[e.Domain], e)
	}
	total, slots := 0.0, map[string]float64{}
	for _, u := range upstreams {
		total += float64(u.Slots)
		slots[u.Domain] += float64(u.Slots)
	}
	fair := total / float64(len(entries))
	for domain, near := range d.near {
		wanted := fair * float64(len(near))
		d.keep[domain] = min(1, wanted/slots[domain])
		d.lacking[domain] = max(0, wanted-slots[domain]) / float64(len(near))
	}
	return d
}

// quota counts the slots of u that fall to the entry.
func (d *division) quota(of Member, u Share) int32 {
	near := slices.Clone(d.near[u.Domain])
	slices.SortFunc(near, func(a, b Member) int {
		if hash(a.Name, u.ID, 0) < hash(b.Name, u.ID, 0) {
			return -1
		}
		return 1
	})
	var quota int32
	kept := 0
	for slot := range u.Slots {
		var owner Member
		if unit(hash("", u.ID, slot)) < d.keep[u.Domain] {
			owner = near[kept%len(near)]
			kept++
		} else {
			owner = d.far(u, slot)
		}
		if owner.Name == of.Name {
			quota++
		}
	}
	return quota
}

// far gives a slot that its own domain does not need to an entry that lacks some, by weighted rendezvous hashing.
func (d *division) far(u Share, slot int32) Member {
	best, owner := 0.0, d.entries[0]
	for _, e := range d.entries {
		weight := d.lacking[e.Domain]
		score := -weight / math.Log(unit(hash(e.Name, u.ID, slot)))
		if score > best {
			best, owner = score, e
		}
	}
	return owner
}

func hash(entry, upstream string, slot int32) uint64 {
	return xxhash.Sum64String(entry + "\x00" + upstream + "\x00" + string(slot))
}

// unit maps a hash to the open interval from 0 to 1.
func unit(h uint64) float64 {
	return (float64(h>>11) + 0.5) / (1 << 53)
}
