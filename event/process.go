package event

// Events of every process, 1 to 99.
var (
	ProcessStarted    = register(1, "process_started", "A process has read its settings and is starting.")
	ProcessReady      = register(2, "process_ready", "A process is ready for traffic from the platform's load balancer.")
	ProcessStopping   = register(3, "process_stopping", "A process received a stop signal and finishes the work in progress.")
	ProcessStopped    = register(4, "process_stopped", "A process has finished its work and exits.")
	ProcessFailed     = register(9, "process_failed", "A process can no longer work and exits, so that it is restarted.")
	StartWaitsForRoom = register(10, "start_waits_for_room", "A process cannot open its data directory, since the disk is full, and tries again until it has room.")
	LinesDropped      = register(7, "lines_dropped", "The log output was slower than the log, and this number of lines was lost.")
	LinesOmitted      = register(8, "lines_omitted", "An event exceeded its limit of lines per second, and this number of lines was omitted.")
	ListenFailed      = register(5, "listen_failed", "A listener failed with an error.")
	CallPanicked      = register(11, "call_panicked", "A call from another process panicked; the call has failed, the process goes on.")
	ClientsRefused    = register(12, "clients_refused", "Clients were refused or their connections closed at a limit; at most one line a second, with the cause of the last one and the number since the last line.")
	GoroutinePanicked = register(6, "goroutine_panicked", "A goroutine panicked; the process exits at once, so that another can replace it.")
)
