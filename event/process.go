package event

// Events of every process, 1 to 99.
var (
	ProcessStarted    = register(1, "process_started", "A process has read its settings and is starting.")
	ProcessReady      = register(2, "process_ready", "A process is ready for the platform's balancer.")
	ProcessStopping   = register(3, "process_stopping", "A process was told to stop and finishes what is in progress.")
	ProcessStopped    = register(4, "process_stopped", "A process has finished and exits.")
	ProcessFailed     = register(9, "process_failed", "A process can no longer do its part and exits, so that it is started again.")
	LinesDropped      = register(7, "lines_dropped", "The output took lines more slowly than they came, and so many were lost.")
	LinesOmitted      = register(8, "lines_omitted", "An event came more often than its bound of lines a second; so many lines were left out.")
	ListenFailed      = register(5, "listen_failed", "A listener ended with an error.")
	GoroutinePanicked = register(6, "goroutine_panicked", "A goroutine failed; the process ends at once, so that another can take its place.")
)
