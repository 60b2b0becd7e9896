package pick

// Candidate is what an entry knows of one upstream when it picks.
type Candidate struct {
	Health
	Near   bool  // in the entry's own failure domain
	Barred bool  // not to be picked: leaving, out, or of another class
	Slots  int32 // requests that the upstream runs at a time
	Quota  int32 // slots that this entry takes before it borrows
	Limit  int32 // connections that this entry may hold
	Own    int32 // requests in flight from this entry
	Others int32 // requests in flight from other entries, as last reported
}

// Total returns the requests in flight that the entry knows of.
func (c *Candidate) Total() int32 {
	return c.Own + c.Others
}

// free reports whether the upstream seems to have a slot left for this entry.
func (c *Candidate) free() bool {
	return c.Own < c.Limit && c.Total() < c.Slots
}

// load returns how busy the upstream would be with one request more, in slots, weighted by its slowness.
func (c *Candidate) load() float64 {
	return float64(c.Total()+1) / float64(max(c.Slots, 1)) * c.Slowness
}
