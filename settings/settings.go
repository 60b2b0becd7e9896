package settings

// Common is what both roles have in their settings.
type Common struct {
	Name   string `json:"name"`   // unique among all processes
	Domain string `json:"domain"` // failure domain that the process stands in
	Inner  string `json:"inner"`  // IP:port at which the other processes of daisyswitch reach it
	Admin  string `json:"admin"`  // IP:port for metrics and health

	InnerListen string `json:"inner_listen"` // IP:port that it listens on for them, if they reach it through a forwarder; empty for inner itself
}

// InnerAddress returns the IP:port to listen on for the other processes of daisyswitch.
func (c *Common) InnerAddress() string {
	if c.InnerListen != "" {
		return c.InnerListen
	}
	return c.Inner
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

// Seed is where some control process may be found.
type Seed struct {
	Address string `json:"address"` // IP:port; its IP with the port of inner is asked
}

// Member is the settings of a control process that finds its group through seeds and calls its workers.
type Member struct {
	Common
	Announcements  string `json:"announcements"` // IP:port for workers' announcements and the platform's operators
	Data           string `json:"data"`          // folder that holds the log and snapshots
	Seeds          []Seed `json:"seeds"`         // may change while the process runs
	Bootstrap      int64  `json:"first"`         // 1 at the first start of the whole installation, else 0
	Losses         int64  `json:"losses"`        // control processes that may be lost at once
	LeaseMS        int64  `json:"lease_ms"`      // of workers
	LongestLeaseMS int64  `json:"longest_lease_ms"`
	TickMS         int64  `json:"tick_ms"`
	ElectionTicks  int64  `json:"election_ticks"`
	SnapshotEvery  uint64 `json:"snapshot_every"` // log records
}

// Gateway is the settings of a gateway, which passes callers' workflows on to control.
type Gateway struct {
	Common
	Clients string `json:"clients"` // IP:port for callers
	Ready   string `json:"ready"`   // IP:port on which the platform's balancer asks whether the gateway is ready
	Seeds   []Seed `json:"seeds"`   // may change while the process runs
	DrainMS int64  `json:"drain_ms"`
}
