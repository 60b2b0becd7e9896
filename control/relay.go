package control

import (
	"errors"

	"daisyswitch/call"
	"daisyswitch/relay"
	"daisyswitch/wire"
)

var errNoRelay = errors.New("this replica calls no workers")

// newRelays sets up the calls of this process as the leader, and those that it executes for another one.
func (c *Control) newRelays(o Options) {
	var calls call.Functions
	if o.Called != nil {
		calls = o.Called.Calls
	}
	shares := o.Called.shares()
	c.maxAnnouncers = shares.Announcements
	c.relays = relay.NewClient(relay.Options{Calls: calls, Dial: c.pool.Dial, SinceBoot: c.sinceBoot, Direct: shares.DirectWorkers()})
	c.relayed = &relay.Server{Calls: calls, SinceBoot: c.sinceBoot, Term: func() uint64 { return c.replica.Info().Term }}
}

// Relay executes the calls to workers that the leader sends through this replica.
func (c *Control) Relay(stream wire.DRPCControl_RelayStream) error {
	if c.dispatch == nil {
		return errNoRelay
	}
	return c.relayed.Serve(stream)
}
