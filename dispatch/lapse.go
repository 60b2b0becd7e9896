package dispatch

import (
	"time"

	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// leaseOrigin is the event from which a lease is counted, as logged and as a label of metrics.
type leaseOrigin string

const (
	ownGrant    leaseOrigin = "own_grant"    // this leader's last order that extended the lease
	firstCall   leaseOrigin = "first_call"   // this leader began to call the incarnation, to which earlier orders may have granted a lease
	formerOrder leaseOrigin = "former_order" // the last order to the former incarnation that may grant a lease was answered or given up
	firstAnswer leaseOrigin = "first_answer" // an incarnation with a former one first answered a hold
	restart     leaseOrigin = "restart"      // a later incarnation answered
)

var leaseOrigins = []leaseOrigin{ownGrant, firstCall, formerOrder, firstAnswer, restart}

// leaseEnd is a time by which leases have certainly expired.
type leaseEnd struct {
	at     time.Duration // boot clock
	origin leaseOrigin
	since  time.Duration // boot clock, when the origin happened
}

// longestLease returns the end of a lease of the greatest length that is granted by an origin.
func (l *link) longestLease(origin leaseOrigin, since time.Duration) leaseEnd {
	return leaseEnd{at: since + withMaxDrift(l.s.MaxLease), origin: origin, since: since}
}

// laterEnd returns the later of two ends, the first if they are equal.
func laterEnd(a, b leaseEnd) leaseEnd {
	if b.at > a.at {
		return b
	}
	return a
}

// logLost logs runs that are released without an end that their worker listed.
func logLost(ends []*wire.RunEnd, reason string) {
	for _, e := range ends {
		event.RunLost.Info("task", workflow.NameOf(e.GetTask()).String(), "run", e.GetRun(), "worker", e.GetWorker(), "born", e.GetBorn(), "outcome", e.GetOutcome().String(), "reason", reason)
	}
}
