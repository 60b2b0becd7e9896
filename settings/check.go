package settings

import "fmt"

// keyedAddress is an address together with the key that sets it.
type keyedAddress struct {
	key     string
	address string
}

// checkAddressConflicts reports every address that conflicts with an earlier one in the list.
func (r *reader) checkAddressConflicts(places []keyedAddress) {
	for i, later := range places {
		for _, earlier := range places[:i] {
			if addressesConflict(earlier.address, later.address) {
				r.addFault(r.lineOf(later.key), later.key, fmt.Sprintf("%s conflicts with %s on line %d", later.address, earlier.key, r.lineOf(earlier.key)), "an address that overlaps with no other key's address")
				break
			}
		}
	}
}

// checkReplicas validates the list of control processes and returns their addresses.
func (r *reader) checkReplicas(list []Replica) []keyedAddress {
	const most = 7
	if len(list) == 0 || len(list) > most || len(list)%2 == 0 {
		r.addFault(r.lineOf("control"), "control", fmt.Sprintf("lists %d processes", len(list)), "an odd number from 1 to 7")
	}
	first := map[uint64]string{}
	var places []keyedAddress
	for i, replica := range list {
		key := fmt.Sprintf("control[%d]", i)
		if earlier, twice := first[replica.ID]; twice && replica.ID != 0 {
			r.addFault(r.lineOf(key+".id"), key+".id", fmt.Sprintf("%d is a duplicate, first used on line %d", replica.ID, r.lineOf(earlier)), "a unique id for each process")
		} else {
			first[replica.ID] = key + ".id"
		}
		places = append(places, keyedAddress{key + ".inner", replica.Inner})
	}
	return places
}

// checkNeighbors validates the list of entries and returns the addresses of all entries except own.
func (r *reader) checkNeighbors(list []Neighbor, own Common) []keyedAddress {
	first := map[string]string{}
	var places []keyedAddress
	for i, neighbor := range list {
		key := fmt.Sprintf("entries[%d]", i)
		if earlier, twice := first[neighbor.Name]; twice && neighbor.Name != "" {
			r.addFault(r.lineOf(key+".name"), key+".name", fmt.Sprintf("%q is a duplicate, first used on line %d", neighbor.Name, r.lineOf(earlier)), "a unique name for each entry")
			continue
		}
		first[neighbor.Name] = key + ".name"
		if neighbor.Name != own.Name {
			places = append(places, keyedAddress{key + ".inner", neighbor.Inner})
			continue
		}
		r.checkSame(key+".inner", neighbor.Inner, "inner", own.Inner)
		r.checkSame(key+".domain", neighbor.Domain, "domain", own.Domain)
	}
	return places
}

// checkSame reports a value that a list gives for the process itself if it differs from the process's own key.
func (r *reader) checkSame(key, listed, ownKey, own string) {
	if listed != own && listed != "" && own != "" {
		r.addFault(r.lineOf(key), key, fmt.Sprintf("is %q, but %s on line %d is %q", listed, ownKey, r.lineOf(ownKey), own), "the same value in both")
	}
}

func (r *reader) checkEntry(e *Entry) {
	places := []keyedAddress{
		{"inner", e.Inner}, {"admin", e.Admin},
		{"callers", e.Callers}, {"platform", e.Platform}, {"operators", e.Operators},
	}
	places = append(places, r.checkReplicas(e.Control)...)
	places = append(places, r.checkNeighbors(e.Entries, e.Common)...)
	r.checkAddressConflicts(places)
	if e.Limits.RequestTimeoutMS != 0 && e.Limits.QueueTimeoutMS > e.Limits.RequestTimeoutMS {
		key := "limits.queue_timeout_ms"
		r.addFault(r.lineOf(key), key, fmt.Sprintf("is %d", e.Limits.QueueTimeoutMS), fmt.Sprintf("at most limits.request_timeout_ms, %d", e.Limits.RequestTimeoutMS))
	}
}

func (r *reader) checkControl(c *Control) {
	places := []keyedAddress{{"inner", c.Inner}, {"admin", c.Admin}}
	listed := false
	for i, p := range r.checkReplicas(c.Control) {
		if c.Control[i].ID != c.ID {
			places = append(places, p)
			continue
		}
		listed = true
		key := fmt.Sprintf("control[%d]", i)
		r.checkSame(key+".inner", c.Control[i].Inner, "inner", c.Inner)
		r.checkSame(key+".domain", c.Control[i].Domain, "domain", c.Domain)
	}
	r.checkAddressConflicts(places)
	if !listed && c.ID != 0 {
		r.addFault(r.lineOf("id"), "id", fmt.Sprintf("%d is not an id in the list control", c.ID), "the id of one of the listed processes")
	}
	election := c.TickMS * c.ElectionTicks
	if c.LeaseMS != 0 && c.LeaseMS < 2*election {
		r.addFault(r.lineOf("lease_ms"), "lease_ms", fmt.Sprintf("is %d", c.LeaseMS), fmt.Sprintf("at least two election timeouts (tick_ms times election_ticks), %d", 2*election))
	}
}

// checkSeeds reports an empty list of seeds.
func (r *reader) checkSeeds(list []Seed) {
	if len(list) == 0 {
		r.addFault(r.lineOf("seeds"), "seeds", "lists no address", "at least one control process's address")
	}
}

// CheckMachine returns why the memory or the descriptors are out of range, nil if they are not.
func (c *Common) CheckMachine() error {
	for _, value := range []struct {
		key    string
		number int64
	}{{"memory_mb", c.MemoryMB}, {"max_fds", c.MaxFDs}} {
		rule := numberRules[value.key]
		if value.number != rule.Default && (value.number < rule.Min || value.number > rule.Max) {
			return fmt.Errorf("%s is %d, allowed is %s", value.key, value.number, rule.allowed())
		}
	}
	return nil
}

func (r *reader) checkMember(m *Member) {
	r.checkAddressConflicts([]keyedAddress{{"inner", m.Inner}, {"admin", m.Admin}, {"announcements", m.Announcements}})
	r.checkSeeds(m.Seeds)
	if m.LongestLeaseMS != 0 && m.LeaseMarginMS > 0 && m.LongestLeaseMS-m.LeaseMarginMS < numberRules["lease_ms"].Min {
		r.addFault(r.lineOf("lease_margin_ms"), "lease_margin_ms", fmt.Sprintf("is %d", m.LeaseMarginMS), fmt.Sprintf("a margin that leaves a lease of at least %d of longest_lease_ms, %d", numberRules["lease_ms"].Min, m.LongestLeaseMS))
	}
	if m.LongestLeaseMS != 0 && m.LeaseMarginMS == 0 && m.LeaseMS > m.LongestLeaseMS {
		r.addFault(r.lineOf("lease_ms"), "lease_ms", fmt.Sprintf("is %d", m.LeaseMS), fmt.Sprintf("at most longest_lease_ms, %d", m.LongestLeaseMS))
	}
}

func (r *reader) checkGateway(g *Gateway) {
	r.checkAddressConflicts([]keyedAddress{{"admin", g.Admin}, {"clients", g.Clients}, {"ready", g.Ready}})
	r.checkSeeds(g.Seeds)
}
