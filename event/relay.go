package event

// Events of many workers: connections at their limit and calls through other replicas, 280 to 289 and 496 to 499.
var (
	AnnouncementNotForwarded = register(282, "announcement_not_forwarded", "A worker's announcement that came to a replica that does not lead was not committed by the leader in time.")
	RelayOpened              = register(280, "relay_opened", "The leader sends calls to workers through another replica, because it has more workers than its connections suffice for.")
	RelayClosed              = register(281, "relay_closed", "The leader no longer sends calls through a replica; its workers are called directly or through another one.")
	ConnectionsAtLimit       = register(496, "connections_at_limit", "A process has as many connections for a purpose as its descriptors allow; it closes idle ones and waits for others.")
)
