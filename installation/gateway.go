package installation

import (
	"errors"
	"time"

	"daisyswitch/gateway"
	"daisyswitch/ingress"
	"daisyswitch/platform"
	"daisyswitch/settings"

	"github.com/VictoriaMetrics/metrics"
)

// Gateway is a gateway process with its HTTP server for the platform.
type Gateway struct {
	gateway *gateway.Gateway
	server  *platform.Gateway
	watcher *fileWatcher
	metrics *metrics.Set
}

// NewGateway starts a gateway. The settings file at path is reloaded whenever it changes.
func NewGateway(path string, s *settings.Gateway, limits *ingress.Process) (*Gateway, error) {
	g := &Gateway{metrics: metrics.NewSet(), gateway: gateway.New(gateway.Options{Seeds: innerAddresses(s.Seeds, s.Inner)})}
	var err error
	g.server, err = platform.NewGateway(platform.GatewayOptions{
		Clients: s.Clients, Ready: s.Ready, Gateway: g.gateway, Drain: time.Duration(s.DrainMS) * time.Millisecond, Metrics: g.metrics, Ingress: limits,
	})
	if err != nil {
		return nil, errors.Join(err, g.gateway.Close())
	}
	g.watcher = watchFile(path, func(source []byte) error {
		changed, err := settings.ParseGateway(path, source)
		if err != nil {
			return err
		}
		g.gateway.SetSeeds(innerAddresses(changed.Seeds, s.Inner))
		return nil
	})
	return g, nil
}

// Close stops the HTTP server, then closes the connections to control, and waits.
func (g *Gateway) Close() error {
	g.watcher.close()
	return errors.Join(g.server.Close(), g.gateway.Close())
}

// Ready returns why the gateway is not ready for callers, nil if it is.
func (g *Gateway) Ready() error { return g.gateway.Ready() }

// Metrics returns the gateway's metrics.
func (g *Gateway) Metrics() *metrics.Set { return g.metrics }
