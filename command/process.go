package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"daisyswitch/control"
	"daisyswitch/entry"
	"daisyswitch/event"
	"daisyswitch/metric"
	"daisyswitch/settings"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

type entryCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
}

// Execute runs an entry until it is told to stop.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return &usageError{err}
	}
	return run(s.Common, "entry", func() (*process, error) {
		e, err := entry.New(entry.Options{Settings: s})
		if err != nil {
			return nil, err
		}
		return &process{ready: e.Ready, close: e.Close, metrics: e.Metrics()}, nil
	})
}

type controlCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
}

// Execute runs a control process until it is told to stop.
func (c *controlCommand) Execute([]string) error {
	s, err := settings.LoadControl(c.Settings)
	if err != nil {
		return &usageError{err}
	}
	return run(s.Common, "control", func() (*process, error) {
		r, err := control.New(control.Options{Settings: s})
		if err != nil {
			return nil, err
		}
		return &process{ready: r.Ready, live: r.Live, close: r.Close, metrics: r.Metrics()}, nil
	})
}

type memberCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
}

// Execute runs a control process that finds its group through seeds, until it is told to stop.
func (c *memberCommand) Execute([]string) error {
	s, err := settings.LoadMember(c.Settings)
	if err != nil {
		return &usageError{err}
	}
	return run(s.Common, settings.RoleMember, func() (*process, error) {
		m, err := newMember(c.Settings, s)
		if err != nil {
			return nil, err
		}
		return &process{ready: m.control.Ready, live: m.control.Live, close: m.Close, metrics: m.control.Metrics()}, nil
	})
}

type gatewayCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
}

// Execute runs a gateway until it is told to stop.
func (c *gatewayCommand) Execute([]string) error {
	s, err := settings.LoadGateway(c.Settings)
	if err != nil {
		return &usageError{err}
	}
	return run(s.Common, settings.RoleGateway, func() (*process, error) {
		g, err := newGateway(c.Settings, s)
		if err != nil {
			return nil, err
		}
		return &process{ready: g.gateway.Ready, close: g.Close, metrics: g.metrics}, nil
	})
}

// process is a running role.
type process struct {
	ready   func() error
	live    func() error // nil: always
	close   func() error
	metrics *metrics.Set
}

// readyLook is how often a starting process looks whether it is ready; a tenth of what the balancer waits between its own looks.
const readyLook = 100 * time.Millisecond

// awaitSignal waits for a signal, and tells once when the process is ready.
func awaitSignal(signals <-chan os.Signal, p *process, name string) os.Signal {
	ticker := time.NewTicker(readyLook)
	defer ticker.Stop()
	for p.ready() != nil {
		select {
		case received := <-signals:
			return received
		case <-ticker.C:
		}
	}
	event.ProcessReady.Info("name", name)
	return <-signals
}

// run starts a role with its admin listener, waits for a signal to stop, and stops it gracefully.
func run(s settings.Common, role string, start func() (*process, error)) error {
	sink := event.NewSink(os.Stdout)
	if err := sink.Use(); err != nil {
		return err
	}
	defer func() {
		klog.Flush()
		klog.SetOutput(io.Discard)
		sink.Close()
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	event.ProcessStarted.Info("role", role, "name", s.Name, "domain", s.Domain, "version", version)
	p, err := start()
	if err != nil {
		return fmt.Errorf("start %s %s: %w", role, s.Name, err)
	}
	admin, err := metric.New(metric.Options{Address: s.Admin, Ready: p.ready, Live: p.live, Sets: []*metrics.Set{p.metrics}})
	if err != nil {
		return fmt.Errorf("start %s %s: %w", role, s.Name, errors.Join(err, p.close()))
	}
	received := awaitSignal(signals, p, s.Name)
	event.ProcessStopping.Info("signal", received.String())
	err = p.close()
	if closeErr := admin.Close(); err == nil {
		err = closeErr
	}
	event.ProcessStopped.Info("role", role, "name", s.Name)
	return err
}
