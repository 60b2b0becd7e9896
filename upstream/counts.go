package upstream

import "time"

// Counts sums up the upstreams that an entry knows.
type Counts struct {
	Usable      int // get requests
	Ejected     int // get none for a while, because they failed or were slow
	Out         int // stand in domains out of service
	Leaving     int // have said that they leave
	InFlight    int // requests of this entry
	Connections int // of this entry
}

// Counts returns the present sums.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(time.Now())
	var c Counts
	for _, u := range r.order {
		c.InFlight += int(u.Own)
		c.Connections += u.pool.Open()
		switch {
		case u.Leaving:
			c.Leaving++
		case u.out:
			c.Out++
		case u.Ejected:
			c.Ejected++
		default:
			c.Usable++
		}
	}
	return c
}
