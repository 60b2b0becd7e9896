package event

// Events of the stand-ins, 600 to 699.
var (
	StandinAnnounceFailed = register(600, "standin_announce_failed", "A stand-in upstream could not announce itself to an entry and keeps trying; logged once until it succeeds.")
	StandinPollFailed     = register(601, "standin_poll_failed", "A stand-in worker got no answer to a poll and keeps trying; logged once until it succeeds.")
	StandinLeaseEnded     = register(602, "standin_lease_ended", "A stand-in worker's lease expired; it stopped its batch tasks.")
	StandinStartDropped   = register(603, "standin_start_dropped", "A stand-in worker dropped a start that arrived too late.")
	StandinJournalFailed  = register(604, "standin_journal_failed", "A stand-in could not write its journal and stops, as a lost line would hide a violation.")
	StandinMode           = register(605, "standin_mode", "A stand-in upstream was switched to another mode of behavior.")
)
