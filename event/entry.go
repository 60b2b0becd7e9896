package event

// Events of entries, 200 to 299.
var (
	ConfigurationApplied = register(200, "configuration_applied", "An entry has applied a newer configuration.")
	WatchMoved           = register(201, "watch_moved", "An entry watches the configuration at another replica, since the former one failed or timed out.")
	RequestPanicked      = register(202, "request_panicked", "A handler of the operator API panicked; the operator received verdict unknown.")
)
