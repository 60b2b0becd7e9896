package event

// Events of leases, 400 to 449.
var (
	WorkerAnnounced = register(400, "worker_announced", "A worker was taken in, has come back, or has changed what it offers.")
	WorkerLost      = register(401, "worker_lost", "A worker's lease has surely ended; its batch tasks wait again and its service replicas are replaced.")
	WorkerLeft      = register(402, "worker_left", "A worker has said that it leaves, and runs nothing any more.")
	ReportRefused   = register(403, "report_refused", "A worker's report was refused: an older one, an older incarnation, or one whose lease has ended.")
)
