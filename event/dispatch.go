package event

// Events of called workers and their runs, 450 to 499.
var (
	RunsAdopted        = register(450, "runs_adopted", "A new leader has taken over the runs that earlier ones committed.")
	RecordNotCommitted = register(451, "record_not_committed", "A record about workflows could not be committed and is tried or decided anew.")
	RunStarted         = register(452, "run_started", "A worker accepted the start of a run.")
	StartUnanswered    = register(453, "start_unanswered", "A worker did not answer a start, which may be carried out later; the same start is sent again.")
	StartRefused       = register(454, "start_refused", "A worker refused a start.")
	StartOvertaken     = register(455, "start_overtaken", "A start was not committed, since the task, the worker or the room had changed meanwhile.")
	RunTakenBack       = register(456, "run_taken_back", "A run that its worker does not list has ended, or can never begin.")
	RunStopping        = register(457, "run_stopping", "A run is stopped.")
	StopUnanswered     = register(458, "stop_unanswered", "A worker did not carry out a stop, which is sent again.")
	RunEnded           = register(459, "run_ended", "A worker lists the end of a run.")
	StrayRun           = register(460, "stray_run", "A worker runs what is not committed to it; it is stopped.")
	WorkerHeard        = register(461, "worker_heard", "A worker answers this leader, at first or again.")
	WorkerSilent       = register(462, "worker_silent", "A worker does not answer; its runs are taken back once its lease has surely ended.")
	WorkerReplaced     = register(463, "worker_replaced", "Another life of a worker answered, so that the former one has ended.")
	WorkerObeysOther   = register(464, "worker_obeys_other", "A worker has seen a higher fencing token than this leader's.")
	CalledSuspended    = register(466, "called_worker_suspended", "A called worker gets nothing new for a while.")
	RunPaced           = register(468, "run_paced", "A filling task was told to work slower or faster, for the serving tasks beside it.")
	LoadSummary        = register(467, "load_summary", "How full the called workers are and how many tasks wait, each 2 s.")
	LeaseLapsed        = register(465, "lease_lapsed", "A silent worker's lease has surely ended, and with it all that ran there.")
)
