package event

// Events of gateways, 210 to 229.
var (
	LeaderFound         = register(210, "leader_found", "A gateway has found control's leader and forwards requests to it.")
	LeaderLinkLost      = register(211, "leader_link_lost", "A gateway has lost its connection to the leader, or the replica no longer leads.")
	RequestAnswered     = register(215, "request_answered", "A gateway answered a caller's submission or cancellation.")
	ConnectionNotClosed = register(216, "connection_not_closed", "A process that stops could not close a client's connection on which no request had begun.")
	RequestFailed       = register(212, "request_failed", "A gateway could not get an answer to a request; the verdict says whether it may have run.")
	SettingsReloaded    = register(213, "settings_reloaded", "A process has reloaded its changed settings and uses them.")
	SettingsNotReloaded = register(214, "settings_not_reloaded", "Changed settings can't be read or are invalid; the former settings stay in use.")
)
