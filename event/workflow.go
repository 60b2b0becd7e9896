package event

// Events of workflows as control answers them, 260 to 299.
var (
	AnnouncementOvertaken = register(260, "announcement_overtaken", "A called worker's announcement was overtaken by a later one and changes nothing.")
	WorkerAnnouncedItself = register(261, "called_worker_announced", "A called worker is new, has changed what it says of itself, or has ended.")
	AnnouncementForeign   = register(270, "announcement_foreign", "An announcement names a pool that no queue uses; it is left out.")
	DepartureIgnored      = register(271, "departure_ignored", "A departure is that of a worker that is not known, or not known to be leaving; its runs are released with its lease.")
	QueuesOffered         = register(262, "queues_offered", "An operator sent a configuration of the queues; it is put in force if it is newer than the one held.")
	DomainOrdered         = register(263, "domain_ordered", "An operator took a failure domain of called workers out or back.")
	WaveOrdered           = register(264, "wave_ordered", "An operator ordered upkeep of machines.")
	WorkflowAnswered      = register(265, "workflow_answered", "A submission or cancellation was committed or refused.")
	AnswerNotSent         = register(266, "answer_not_sent", "A gateway's connection ended before it could be sent an answer.")
	OrderRedirected       = register(268, "order_redirected", "An order or announcement came to a replica that does not lead, which named the leader.")
	OrderFailed           = register(269, "order_failed", "An order or announcement could not be carried out, since no leader is known or nothing was committed.")
	OrderForwarded        = register(272, "order_forwarded", "An operator's order or question that came to a replica that does not lead was answered by the leader.")
	OrderNotForwarded     = register(273, "order_not_forwarded", "An operator's order or question that came to a replica that does not lead got no answer of the leader in time.")
	WorkerDeparted        = register(274, "worker_departed", "A worker says that it has ended; it gets no new runs, and its tasks are freed once its runs are known to have ended.")
	CallerRefused         = register(276, "caller_refused", "A caller's request was refused for its key: the key is missing or unknown, or the workflow belongs to another workspace.")
	CallerOverShare       = register(277, "caller_over_share", "A workflow was refused, as its workspace has sent more than its share while the workers are full; logged with when it is admitted.")
	WorkflowWithoutMemory = register(278, "workflow_without_memory", "A workflow was refused, as the replicas have no memory for it beside what they hold; logged with when memory can be free.")
	OrderRefused          = register(267, "order_refused", "An operator's order or a worker's announcement could not be read or made no sense.")
)
