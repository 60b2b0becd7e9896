package dispatch

import (
	"time"

	"daisyswitch/call"
)

// A later incarnation that executes a hold late forgets its own ends up to the number in it. So a hold carries a number only if the last listing shows ends that may be acknowledged.
// A worker lists its ends until it has executed such a hold. So one that was lost is repeated, and a new leader does not acknowledge again what its predecessor has.

// nextAcknowledgement returns up to which number the next hold acknowledges ends, 0 for none, if the state holds those up to noted. The caller holds the link's mutex.
func (l *link) nextAcknowledgement(now time.Duration, noted int64) int64 {
	noted = l.acknowledgeable(now, noted)
	if l.firstListed == 0 || l.firstListed > noted {
		return 0
	}
	return noted
}

// recordListedEnds records which ends the worker still lists. The caller holds the link's mutex.
func (l *link) recordListedEnds(ended []call.Ended) {
	l.firstListed = 0
	for _, e := range ended {
		if l.firstListed == 0 || e.Number < l.firstListed {
			l.firstListed = e.Number
		}
	}
}
