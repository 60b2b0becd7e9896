package event

// Events of a control replica and its disk, 100 to 199.
var (
	ReplicaStarted       = register(100, "replica_started", "A replica has read its data directory and participates in its group.")
	ReplicaLeads         = register(101, "replica_leads", "A replica leads and has applied all records that were committed before.")
	ReplicaStopsLeading  = register(102, "replica_stops_leading", "A replica no longer leads.")
	ReplicaFollows       = register(103, "replica_follows", "A replica follows another leader or a newer term.")
	ReplicaRecovering    = register(104, "replica_recovering", "A replica has an empty data directory; it neither votes nor counts towards a quorum until the other replicas have admitted it.")
	ReplicaRecovered     = register(105, "replica_recovered", "A replica holds all committed records and is a full member.")
	ReplicaFailed        = register(106, "replica_failed", "A replica's disk failed or an invariant of the log was violated; the replica stops participating in its group until it is restarted.")
	ReplicaTailCut       = register(107, "replica_tail_cut", "The incomplete end of a log, left by a crash, was removed when the log was opened.")
	SnapshotSaved        = register(108, "snapshot_saved", "A replica saved a snapshot and removed the log before it.")
	SnapshotInstalled    = register(109, "snapshot_installed", "A replica that lagged behind installed the leader's snapshot.")
	MembersChanged       = register(112, "members_changed", "A leader has proposed a new set of replicas for its group.")
	LeadershipHandedOver = register(113, "leadership_handed_over", "A leader that is about to stop has asked another replica to take over leadership.")
	DiskFull             = register(114, "disk_full", "A replica's disk has no room; the replica confirms nothing and takes no part in its group until it has, and a leader asks another replica to take over.")
	DiskHasRoom          = register(115, "disk_has_room", "A replica's disk has room again; the replica takes part in its group.")
	SnapshotNotSaved     = register(116, "snapshot_not_saved", "A replica's disk had no room for a snapshot; the log is kept until the next one.")
	MessageMalformed     = register(117, "message_malformed", "A message from another replica contradicts itself; the connection that it came on is closed.")
	ReplicaCampaigns     = register(118, "replica_campaigns", "A replica has heard no leader for an election timeout, or was asked to take over, and asks the others for their votes; logged with the term and the stage, pre_vote or vote.")
	PeerConnected        = register(110, "peer_connected", "A connection to another replica was opened.")
	PeerDisconnected     = register(111, "peer_disconnected", "A connection to another replica was closed or timed out.")
)
