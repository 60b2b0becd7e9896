package installation

import (
	"errors"
	"time"

	"daisyswitch/clock"
	"daisyswitch/control"
	"daisyswitch/platform"
	"daisyswitch/settings"

	"github.com/VictoriaMetrics/metrics"
)

// Member is a control process with its front towards the platform.
type Member struct {
	control *control.Control
	front   *platform.Control
	client  *platform.Client
	watch   *fileWatch
}

// NewMember starts a member; path names the file that its settings came from, which is read again whenever it changes.
func NewMember(path string, s *settings.Member) (*Member, error) {
	m := &Member{client: platform.NewClient()}
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
		DynamicMembers: &control.DynamicMembers{Bootstrap: s.Bootstrap == 1, Losses: int(s.Losses)},
		Called: &control.Called{
			Calls:        m.client.Calls(),
			Lease:        time.Duration(s.LeaseMS) * time.Millisecond,
			LongestLease: time.Duration(s.LongestLeaseMS) * time.Millisecond,
		},
	})
	if err != nil {
		return nil, err
	}
	m.front, err = platform.NewControl(s.Announcements, m.control)
	if err != nil {
		return nil, errors.Join(err, m.control.Close())
	}
	m.watch = watchFile(path, func(source []byte) error {
		changed, err := settings.ParseMember(path, source)
		if err != nil {
			return err
		}
		m.control.SetSeeds(seedReplicas(changed.Seeds, s.Inner))
		return nil
	})
	return m, nil
}

// Ready says why the member is not ready for work, nil if it is.
func (m *Member) Ready() error { return m.control.Ready() }

// Live says why the member should be started again, nil if it should not.
func (m *Member) Live() error { return m.control.Live() }

// Metrics returns the member's metrics.
func (m *Member) Metrics() *metrics.Set { return m.control.Metrics() }

// Close ends the front, then the control process, and waits.
func (m *Member) Close() error {
	m.watch.close()
	err := errors.Join(m.control.Close(), m.front.Close())
	m.client.Close()
	return err
}
