package event

// Events of the policy, 500 to 599.
var (
	WorkerSuspended = register(500, "worker_suspended", "A worker failed the tasks of several jobs in a row and gets only single probe tasks for some time.")
	WorkerTrusted   = register(501, "worker_trusted", "A suspended worker completed its probe tasks and gets tasks as before.")
	JobGivenUp      = register(502, "job_given_up", "A job failed on several workers that run other jobs successfully; its waiting tasks are abandoned.")
)
