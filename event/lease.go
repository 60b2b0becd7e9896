package event

// Events of leases, 400 to 449.
var (
	WorkerAnnounced = register(400, "worker_announced", "A worker was registered, has returned, or has changed its offered capacity or location.")
	WorkerLost      = register(401, "worker_lost", "A worker's lease is known to have expired; its batch tasks are queued again and its service replicas are replaced.")
	WorkerLeft      = register(402, "worker_left", "A worker that announced its departure no longer runs any task.")
	ReportRefused   = register(403, "report_refused", "A worker's report was refused: it is older than the last one, comes from an older incarnation, or its lease has expired.")
)
