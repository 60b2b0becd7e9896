package settings

// Common holds the settings that all roles share.
type Common struct {
	Name   string `json:"name"`   // unique among all processes
	Domain string `json:"domain"` // failure domain of the process
	Inner  string `json:"inner"`  // IP:port at which the other processes of daisyswitch reach it
	Admin  string `json:"admin"`  // IP:port for metrics and health

	InnerListen string `json:"inner_listen"` // IP:port to listen on if other processes connect through a forwarder; empty to listen on inner
}

// InnerAddress returns the IP:port to listen on for the other processes of daisyswitch.
func (c *Common) InnerAddress() string {
	if c.InnerListen != "" {
		return c.InnerListen
	}
	return c.Inner
}

// Replica is an entry of the list of control processes, which is the same in all settings files.
type Replica struct {
	ID     uint64 `json:"id"`     // at least 1; must never be reused with another disk
	Inner  string `json:"inner"`  // IP:port
	Domain string `json:"domain"` // failure domain
}

// Neighbor is an entry process in an entry's list of entries.
type Neighbor struct {
	Name   string `json:"name"`
	Inner  string `json:"inner"`  // IP:port
	Domain string `json:"domain"` // failure domain
}

// Entry holds the settings of an entry process.
type Entry struct {
	Common
	Callers   string     `json:"callers"`   // IP:port for callers
	Platform  string     `json:"platform"`  // IP:port for upstreams and workers
	Operators string     `json:"operators"` // IP:port for operators
	Control   []Replica  `json:"control"`
	Entries   []Neighbor `json:"entries"`  // the other entries; the process itself may be listed too
	DrainMS   int64      `json:"drain_ms"` // time between reporting not ready and closing the listeners
	Limits    Limits     `json:"limits"`
}

// Limits holds an entry's limits for callers' requests.
type Limits struct {
	HeaderBytes      int64 `json:"header_bytes"`
	BodyBytes        int64 `json:"body_bytes"`
	HeaderTimeoutMS  int64 `json:"header_timeout_ms"`  // for all headers of a request
	RequestTimeoutMS int64 `json:"request_timeout_ms"` // default when the caller sets no timeout
	QueueTimeoutMS   int64 `json:"queue_timeout_ms"`   // longest time a request may queue for a slot
	RetryPercent     int64 `json:"retry_percent"`      // retries as a share of recent requests
}

// Control holds the settings of a control process.
type Control struct {
	Common
	ID            uint64    `json:"id"`
	Data          string    `json:"data"` // directory of the log and snapshots
	Control       []Replica `json:"control"`
	TickMS        int64     `json:"tick_ms"`
	ElectionTicks int64     `json:"election_ticks"`
	LeaseMS       int64     `json:"lease_ms"`       // of workers
	DriftPPM      int64     `json:"drift_ppm"`      // largest difference between clock rates, parts per million
	SnapshotEvery uint64    `json:"snapshot_every"` // log records between snapshots
	AuditKeep     int64     `json:"audit_keep"`     // audit records to keep
	AnswersKeep   int64     `json:"answers_keep"`   // answers to keep for retried requests, per operator
}

// Seed is an address at which a control process may be found.
type Seed struct {
	Address string `json:"address"` // IP:port; only the IP is used, together with the port of inner
}

// Member holds the settings of a control process that finds its group through seeds and calls its workers.
type Member struct {
	Common
	Announcements   string `json:"announcements"` // IP:port for workers' announcements and the platform's operators
	Data            string `json:"data"`          // directory of the log and snapshots
	Seeds           []Seed `json:"seeds"`         // may change while the process runs
	Bootstrap       int64  `json:"first"`         // 1 on the first start of the whole installation, else 0
	ToleratedLosses int64  `json:"losses"`        // control processes that may fail at the same time
	LeaseMS         int64  `json:"lease_ms"`      // of workers
	LongestLeaseMS  int64  `json:"longest_lease_ms"`
	TickMS          int64  `json:"tick_ms"`
	ElectionTicks   int64  `json:"election_ticks"`
	SnapshotEvery   uint64 `json:"snapshot_every"` // log records between snapshots
	MaxFDs          int64  `json:"max_fds"`        // file descriptors that the process may have open
}

// Gateway holds the settings of a gateway, which forwards callers' workflows to control.
type Gateway struct {
	Common
	Clients string `json:"clients"` // IP:port for callers
	Ready   string `json:"ready"`   // IP:port for readiness probes of the platform's load balancer
	Seeds   []Seed `json:"seeds"`   // may change while the process runs
	DrainMS int64  `json:"drain_ms"`
}
