package pick

// Candidate is the state of one upstream that an entry uses to select among upstreams.
type Candidate struct {
	Health
	Ineligible     bool  // not eligible: leaving, in a domain out of service, skipped, or not serving the class
	Slots          int32 // requests that the upstream runs concurrently
	Quota          int32 // slots that this entry uses before it borrows others; the quotas of all entries add up to Slots
	Limit          int32 // maximum connections of this entry
	OwnInFlight    int32 // requests in flight from this entry
	OthersInFlight int32 // requests in flight from other entries, as last reported
}

func (c *Candidate) usable() bool {
	return !c.Ineligible && !c.Ejected && c.OwnInFlight < c.Limit
}

func (c *Candidate) withinQuota() bool {
	return c.usable() && c.OwnInFlight < c.Quota
}

// mayBorrow allows quotaOvershoot requests above the quota, and more if the reported load leaves a slot free.
func (c *Candidate) mayBorrow() bool {
	return c.usable() && (c.OwnInFlight < c.Quota+quotaOvershoot || c.OwnInFlight+c.OthersInFlight < c.Slots)
}

// quotaUtilization is the fraction of the quota in use after one more request, weighted by slowness.
func (c *Candidate) quotaUtilization() float64 {
	return float64(c.OwnInFlight+1) / float64(c.Quota) * c.Slowness
}

// overQuotaCost is the load above the quota after one more request, weighted by slowness; other entries' requests count with othersWeight.
func (c *Candidate) overQuotaCost() float64 {
	return float64(c.OwnInFlight+1)*c.Slowness - float64(c.Quota) + othersWeight*float64(c.OthersInFlight)
}
