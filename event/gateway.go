package event

// Events of gateways, 210 to 229.
var (
	LeaderFound     = register(210, "leader_found", "A gateway has found control's leader and passes requests on to it.")
	LeaderLinkLost  = register(211, "leader_link_lost", "A gateway has lost its connection to the leader, or the replica leads no more.")
	RequestAnswered = register(215, "request_answered", "A gateway answered a caller's submission or cancellation.")
	RequestFailed   = register(212, "request_failed", "A gateway could not have a request answered; the verdict says whether it may have run.")
	SettingsLoaded  = register(213, "settings_reloaded", "A process has read its changed settings and uses them.")
	SettingsFaulty  = register(214, "settings_not_reloaded", "Changed settings can't be read or are wrong; the former stay in use.")
)
