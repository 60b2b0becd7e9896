package control

import (
	"errors"

	"daisyswitch/wire"
)

var errNoRelay = errors.New("this replica relays no calls")

// Relay refuses to relay calls.
func (c *Control) Relay(wire.DRPCControl_RelayStream) error { return errNoRelay }
