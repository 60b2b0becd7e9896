package settings

// Common is what both roles have in their settings.
type Common struct {
	Name   string `json:"name"`   // unique among all processes
	Domain string `json:"domain"` // failure domain that the process stands in
	Inner  string `json:"inner"`  // IP:port for the other processes of daisyswitch
	Admin  string `json:"admin"`  // IP:port for metrics and health
}

// Replica is one control process as every process knows it.
type Replica struct {
	ID     uint64 `json:"id"`     // 1 and up, never given to another disk
	Inner  string `json:"inner"`  // IP:port
	Domain string `json:"domain"` // failure domain
}

// Neighbor is another entry.
type Neighbor struct {
	Name   string `json:"name"`
	Inner  string `json:"inner"`  // IP:port
	Domain string `json:"domain"` // failure domain
}

// Entry is the settings of an entry process.
type Entry struct {
	Common
	Callers   string     `json:"callers"`   // IP:port for callers
	Platform  string     `json:"platform"`  // IP:port for upstreams and workers
	Operators string     `json:"operators"` // IP:port for operators
	Control   []Replica  `json:"control"`
	Entries   []Neighbor `json:"entries"`  // the others; its own name may stand in the list
	DrainMS   int64      `json:"drain_ms"` // between not ready and the closing of listeners
	Limits    Limits     `json:"limits"`
}

// Limits bounds what an entry takes from callers.
type Limits struct {
	HeaderBytes      int64 `json:"header_bytes"`
	BodyBytes        int64 `json:"body_bytes"`
	HeaderTimeoutMS  int64 `json:"header_timeout_ms"`  // for all headers of a request
	RequestTimeoutMS int64 `json:"request_timeout_ms"` // when a caller names none
	QueueTimeoutMS   int64 `json:"queue_timeout_ms"`   // longest wait for a slot
	RetryPercent     int64 `json:"retry_percent"`      // of recent requests
}

// Control is the settings of a control process.
type Control struct {
	Common
	ID            uint64    `json:"id"`
	Data          string    `json:"data"` // folder that holds the log and snapshots
	Control       []Replica `json:"control"`
	TickMS        int64     `json:"tick_ms"`
	ElectionTicks int64     `json:"election_ticks"`
	LeaseMS       int64     `json:"lease_ms"`       // of workers
	DriftPPM      int64     `json:"drift_ppm"`      // bound on how far clocks' rates differ, parts per million
	SnapshotEvery uint64    `json:"snapshot_every"` // log records
	AuditKeep     int64     `json:"audit_keep"`     // audit records
	AnswersKeep   int64     `json:"answers_keep"`   // answers for resends, per operator
}
