package pick

// Candidate is what an entry knows of one upstream when it picks.
type Candidate struct {
	Health
	Barred bool  // not to be picked: leaving, out, or of another class
	Slots  int32 // requests that the upstream runs at a time
	Quota  int32 // slots that this entry takes before it borrows; the quotas of all entries add up to Slots
	Limit  int32 // connections that this entry may hold
	Own    int32 // requests in flight from this entry
	Others int32 // requests in flight from other entries, as last reported
}

func (c *Candidate) usable() bool {
	return !c.Barred && !c.Ejected && c.Own < c.Limit
}

func (c *Candidate) withinQuota() bool {
	return c.usable() && c.Own < c.Quota
}

// mayBorrow admits a little beyond the quota, and more where a slot seems free.
func (c *Candidate) mayBorrow() bool {
	return c.usable() && (c.Own < c.Quota+beyondQuota || c.Own+c.Others < c.Slots)
}

// fill is the share of the quota in use with one request more, weighted by slowness.
func (c *Candidate) fill() float64 {
	return float64(c.Own+1) / float64(c.Quota) * c.Slowness
}

// excess is the use above the quota with one request more, weighted by slowness, others counting a little.
func (c *Candidate) excess() float64 {
	return float64(c.Own+1)*c.Slowness - float64(c.Quota) + othersWeight*float64(c.Others)
}
