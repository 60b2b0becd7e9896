package upstream

import "time"

// Counts holds the numbers of upstreams by state, and this entry's load on them.
type Counts struct {
	Usable      int // eligible for requests
	Ejected     int // temporarily excluded because they failed or were slow
	Out         int // in domains that are out of service
	Leaving     int // have announced that they are leaving
	InFlight    int // requests of this entry in flight
	Connections int // open connections of this entry
}

// Counts returns the current counts.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(time.Now())
	var c Counts
	for _, u := range r.sorted {
		c.InFlight += int(u.OwnInFlight)
		c.Connections += u.pool.Open()
		switch {
		case u.Leaving:
			c.Leaving++
		case u.domainOut:
			c.Out++
		case u.Ejected:
			c.Ejected++
		default:
			c.Usable++
		}
	}
	return c
}
