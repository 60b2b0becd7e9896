package event

// Events of a control replica and its disk, 100 to 199.
var (
	ReplicaStarted       = register(100, "replica_started", "A replica has read its data folder and takes part in its group.")
	ReplicaLeads         = register(101, "replica_leads", "A replica leads and has applied all that was committed before.")
	ReplicaStopsLead     = register(102, "replica_stops_leading", "A replica no longer leads.")
	ReplicaFollows       = register(103, "replica_follows", "A replica follows another leader or a newer term.")
	ReplicaRecovering    = register(104, "replica_recovering", "A replica has an empty data folder and neither votes nor counts until the others have let it in.")
	ReplicaRecovered     = register(105, "replica_recovered", "A replica holds all that was committed and is a full member.")
	ReplicaFailed        = register(106, "replica_failed", "A replica's disk failed or a rule of the log was broken, which ends its part in the group until it is started anew.")
	ReplicaTailCut       = register(107, "replica_tail_cut", "The end of a log that a crash had cut short was removed on opening.")
	SnapshotSaved        = register(108, "snapshot_saved", "A replica saved a snapshot and removed the log before it.")
	SnapshotInstalled    = register(109, "snapshot_installed", "A replica that was left behind took over the leader's snapshot.")
	MembersChanged       = register(112, "members_changed", "A leader has proposed another group of replicas.")
	LeadershipHandedOver = register(113, "leadership_handed_over", "A leader that is to stop has asked another replica to lead.")
	PeerConnected        = register(110, "peer_connected", "A connection to another replica was opened.")
	PeerDisconnected     = register(111, "peer_disconnected", "A connection to another replica ended or went silent.")
)
