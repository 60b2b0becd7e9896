package installation

import (
	"errors"
	"time"

	"daisyswitch/clock"
	"daisyswitch/control"
	"daisyswitch/descriptor"
	"daisyswitch/ingress"
	"daisyswitch/platform"
	"daisyswitch/settings"

	"github.com/VictoriaMetrics/metrics"
)

// heldDivisor sets the part of a member's memory that accepted workflows may take. The rest is for snapshots, the log, runs and connections.
const heldDivisor = 4

// Member is a control process with its HTTP server for the platform.
type Member struct {
	control *control.Control
	server  *platform.Control
	client  *platform.WorkerClient
	watcher *fileWatcher
}

// NewMember starts a member. The settings file at path is reloaded whenever it changes.
func NewMember(path string, s *settings.Member, limits *ingress.Process) (*Member, error) {
	shares := descriptor.Divide(int(s.MaxFDs))
	m := &Member{client: platform.NewLimitedWorkerClient(platform.WorkerOptions{MaxConnections: shares.Calls})}
	c := &settings.Control{
		Common: s.Common, ID: replicaID(s.Inner), Data: s.Data, TickMS: s.TickMS, ElectionTicks: s.ElectionTicks,
		LeaseMS: s.LeaseMS, SnapshotEvery: s.SnapshotEvery,
	}
	for id, address := range seedReplicas(s.Seeds, s.Inner) {
		c.Control = append(c.Control, settings.Replica{ID: id, Inner: address})
	}
	var err error
	m.control, err = control.New(control.Options{
		Settings: c, SinceBoot: clock.SinceBoot,
		MaxHeld:        s.MemoryMB << 20 / heldDivisor,
		DynamicMembers: &control.DynamicMembers{Bootstrap: s.Bootstrap == 1, ToleratedLosses: int(s.ToleratedLosses)},
		Called: &control.Called{
			Calls:        m.client.Calls(),
			Lease:        s.Lease(),
			LongestLease: time.Duration(s.LongestLeaseMS) * time.Millisecond,
			Lookahead:    s.Lookahead == 1,
			Shares:       shares,
		},
	})
	if err != nil {
		return nil, err
	}
	m.client.AddMetrics(m.control.Metrics())
	m.server, err = platform.NewControl(s.Announcements, m.control, limits)
	if err != nil {
		return nil, errors.Join(err, m.control.Close())
	}
	m.watcher = watchFile(path, func(source []byte) error {
		changed, err := settings.ParseMember(path, source)
		if err != nil {
			return err
		}
		m.control.SetSeeds(seedReplicas(changed.Seeds, s.Inner))
		return nil
	})
	return m, nil
}

// Ready returns why the member is not ready, nil if it is.
func (m *Member) Ready() error { return m.control.Ready() }

// Live returns why the member should be restarted, nil if it is healthy.
func (m *Member) Live() error { return m.control.Live() }

// Metrics returns the member's metrics.
func (m *Member) Metrics() *metrics.Set { return m.control.Metrics() }

// Close stops the control process and the HTTP server, and waits.
func (m *Member) Close() error {
	m.watcher.close()
	err := errors.Join(m.control.Close(), m.server.Close())
	m.client.Close()
	return err
}
