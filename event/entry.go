package event

// Events of entries, 200 to 299.
var (
	ConfigurationApplied = register(200, "configuration_applied", "An entry has put a newer configuration in force.")
	WatchMoved           = register(201, "watch_moved", "An entry follows the configuration at another replica, since the former failed or fell silent.")
	RequestPanicked      = register(202, "request_panicked", "A handler of the operators' interface failed; the operator was answered with verdict unknown.")
)
