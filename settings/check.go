package settings

import "fmt"

// place is an address together with the key that names it.
type place struct {
	key     string
	address string
}

// apart refuses every address that an earlier one of the list clashes with.
func (r *reader) apart(places []place) {
	for i, later := range places {
		for _, earlier := range places[:i] {
			if clash(earlier.address, later.address) {
				r.fault(r.lineOf(later.key), later.key, fmt.Sprintf("%s clashes with %s on line %d", later.address, earlier.key, r.lineOf(earlier.key)), "an address that nothing else listens on")
				break
			}
		}
	}
}

// replicas checks the list of control processes and returns their addresses.
func (r *reader) replicas(list []Replica) []place {
	const most = 7
	if len(list) == 0 || len(list) > most || len(list)%2 == 0 {
		r.fault(r.lineOf("control"), "control", fmt.Sprintf("lists %d processes", len(list)), "an odd number from 1 to 7")
	}
	first := map[uint64]string{}
	var places []place
	for i, replica := range list {
		key := fmt.Sprintf("control[%d]", i)
		if earlier, twice := first[replica.ID]; twice && replica.ID != 0 {
			r.fault(r.lineOf(key+".id"), key+".id", fmt.Sprintf("%d stands twice, first on line %d", replica.ID, r.lineOf(earlier)), "an id of its own for each process")
		} else {
			first[replica.ID] = key + ".id"
		}
		places = append(places, place{key + ".inner", replica.Inner})
	}
	return places
}

// neighbors checks the list of entries and returns the addresses of all but own.
func (r *reader) neighbors(list []Neighbor, own Common) []place {
	first := map[string]string{}
	var places []place
	for i, neighbor := range list {
		key := fmt.Sprintf("entries[%d]", i)
		if earlier, twice := first[neighbor.Name]; twice && neighbor.Name != "" {
			r.fault(r.lineOf(key+".name"), key+".name", fmt.Sprintf("%q stands twice, first on line %d", neighbor.Name, r.lineOf(earlier)), "a name of its own for each entry")
			continue
		}
		first[neighbor.Name] = key + ".name"
		if neighbor.Name != own.Name {
			places = append(places, place{key + ".inner", neighbor.Inner})
			continue
		}
		r.same(key+".inner", neighbor.Inner, "inner", own.Inner)
		r.same(key+".domain", neighbor.Domain, "domain", own.Domain)
	}
	return places
}

// same refuses a list's word about the process itself where it differs from the process's own key.
func (r *reader) same(key, listed, ownKey, own string) {
	if listed != own && listed != "" && own != "" {
		r.fault(r.lineOf(key), key, fmt.Sprintf("is %q, but %s on line %d is %q", listed, ownKey, r.lineOf(ownKey), own), "the same in both")
	}
}

func (r *reader) entry(e *Entry) {
	places := []place{
		{"inner", e.Inner}, {"admin", e.Admin},
		{"callers", e.Callers}, {"platform", e.Platform}, {"operators", e.Operators},
	}
	places = append(places, r.replicas(e.Control)...)
	places = append(places, r.neighbors(e.Entries, e.Common)...)
	r.apart(places)
	if e.Limits.RequestTimeoutMS != 0 && e.Limits.QueueTimeoutMS > e.Limits.RequestTimeoutMS {
		key := "limits.queue_timeout_ms"
		r.fault(r.lineOf(key), key, fmt.Sprintf("is %d", e.Limits.QueueTimeoutMS), fmt.Sprintf("at most limits.request_timeout_ms, %d", e.Limits.RequestTimeoutMS))
	}
}

func (r *reader) control(c *Control) {
	places := []place{{"inner", c.Inner}, {"admin", c.Admin}}
	listed := false
	for i, p := range r.replicas(c.Control) {
		if c.Control[i].ID != c.ID {
			places = append(places, p)
			continue
		}
		listed = true
		key := fmt.Sprintf("control[%d]", i)
		r.same(key+".inner", c.Control[i].Inner, "inner", c.Inner)
		r.same(key+".domain", c.Control[i].Domain, "domain", c.Domain)
	}
	r.apart(places)
	if !listed && c.ID != 0 {
		r.fault(r.lineOf("id"), "id", fmt.Sprintf("%d is not in the list control", c.ID), "the id of one of the processes listed there")
	}
	election := c.TickMS * c.ElectionTicks
	if c.LeaseMS != 0 && c.LeaseMS < 2*election {
		r.fault(r.lineOf("lease_ms"), "lease_ms", fmt.Sprintf("is %d", c.LeaseMS), fmt.Sprintf("at least two election timeouts (tick_ms times election_ticks), %d", 2*election))
	}
}

// seeds refuses an empty list.
func (r *reader) seeds(list []Seed) {
	if len(list) == 0 {
		r.fault(r.lineOf("seeds"), "seeds", "lists no address", "at least one control process")
	}
}

func (r *reader) groupMember(m *Member) {
	r.apart([]place{{"inner", m.Inner}, {"admin", m.Admin}, {"announcements", m.Announcements}})
	r.seeds(m.Seeds)
	if m.LongestLeaseMS != 0 && m.LeaseMS > m.LongestLeaseMS {
		r.fault(r.lineOf("lease_ms"), "lease_ms", fmt.Sprintf("is %d", m.LeaseMS), fmt.Sprintf("at most longest_lease_ms, %d", m.LongestLeaseMS))
	}
}

func (r *reader) gateway(g *Gateway) {
	r.apart([]place{{"admin", g.Admin}, {"clients", g.Clients}, {"ready", g.Ready}})
	r.seeds(g.Seeds)
}
