package command

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"daisyswitch/clock"
	"daisyswitch/control"
	"daisyswitch/event"
	"daisyswitch/gateway"
	"daisyswitch/group"
	"daisyswitch/platform"
	"daisyswitch/settings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
)

// member is a control process with its front towards the platform.
type member struct {
	control *control.Control
	front   *platform.Control
	client  *platform.Client
	watch   *fileWatch
}

func newMember(path string, s *settings.Member) (*member, error) {
	m := &member{client: platform.NewClient()}
	c := &settings.Control{
		Common: s.Common, ID: replicaID(s.Inner), Data: s.Data, TickMS: s.TickMS, ElectionTicks: s.ElectionTicks,
		LeaseMS: s.LeaseMS, SnapshotEvery: s.SnapshotEvery,
	}
	for id, address := range seedReplicas(s.Seeds, s.Inner) {
		c.Control = append(c.Control, settings.Replica{ID: id, Inner: address})
	}
	var err error
	m.control, err = control.New(control.Options{
		Settings: c, Boot: clock.Boot,
		Found: &control.Found{First: s.First == 1, Losses: int(s.Losses)},
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

// seedReplicas returns the drpc addresses of the control processes that seeds name, by replica.
func seedReplicas(seeds []settings.Seed, inner string) map[uint64]string {
	replicas := map[uint64]string{}
	for _, address := range innerAddresses(seeds, inner) {
		replicas[replicaID(address)] = address
	}
	return replicas
}

// Close ends the front, then the control process, and waits.
func (m *member) Close() error {
	m.watch.close()
	err := errors.Join(m.control.Close(), m.front.Close())
	m.client.Close()
	return err
}

// replicaID returns the identity of the replica at a drpc address, which is never given to another disk.
func replicaID(address string) uint64 {
	return xxhash.Sum64String(address) | 1
}

// innerAddresses returns the drpc addresses of the control processes that seeds name: their IPs with the port of inner, which is the same on all instances.
func innerAddresses(seeds []settings.Seed, inner string) []string {
	port := netip.MustParseAddrPort(inner).Port()
	var all []string
	for _, seed := range seeds {
		address := netip.MustParseAddrPort(seed.Address).Addr()
		all = append(all, netip.AddrPortFrom(address, port).String())
	}
	return all
}

// gatewayProcess is a gateway with its front towards the platform.
type gatewayProcess struct {
	gateway *gateway.Gateway
	front   *platform.Gateway
	watch   *fileWatch
	metrics *metrics.Set
}

func newGateway(path string, s *settings.Gateway) (*gatewayProcess, error) {
	g := &gatewayProcess{metrics: metrics.NewSet(), gateway: gateway.New(gateway.Options{Seeds: innerAddresses(s.Seeds, s.Inner)})}
	var err error
	g.front, err = platform.NewGateway(platform.GatewayOptions{
		Clients: s.Clients, Ready: s.Ready, Gateway: g.gateway, Drain: time.Duration(s.DrainMS) * time.Millisecond, Metrics: g.metrics,
	})
	if err != nil {
		return nil, errors.Join(err, g.gateway.Close())
	}
	g.watch = watchFile(path, func(source []byte) error {
		changed, err := settings.ParseGateway(path, source)
		if err != nil {
			return err
		}
		g.gateway.SetSeeds(innerAddresses(changed.Seeds, s.Inner))
		return nil
	})
	return g, nil
}

// Close ends the front, then the way to control, and waits.
func (g *gatewayProcess) Close() error {
	g.watch.close()
	return errors.Join(g.front.Close(), g.gateway.Close())
}

// watchEvery is how often a settings file is looked at; a change need not be signalled.
const watchEvery = time.Second

// fileWatch reads a settings file again when it has changed.
type fileWatch struct {
	stop  chan struct{}
	tasks group.Group
}

func watchFile(path string, changed func([]byte) error) *fileWatch {
	w := &fileWatch{stop: make(chan struct{})}
	last, err := os.ReadFile(path)
	if err != nil {
		event.SettingsFaulty.Error(err, "file", path)
	}
	w.tasks.Go(func() {
		ticker := time.NewTicker(watchEvery)
		defer ticker.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-ticker.C:
				last = reread(path, last, changed)
			}
		}
	})
	return w
}

// reread returns what the file holds and tells of it if it is new.
func reread(path string, last []byte, changed func([]byte) error) []byte {
	source, err := os.ReadFile(path)
	if err != nil || string(source) == string(last) {
		return last
	}
	if err := changed(source); err != nil {
		event.SettingsFaulty.Error(fmt.Errorf("settings: %w", err), "file", path)
		return source
	}
	event.SettingsLoaded.Info("file", path)
	return source
}

func (w *fileWatch) close() {
	close(w.stop)
	w.tasks.Wait()
}
