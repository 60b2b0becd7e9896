package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"daisyswitch/control"
	"daisyswitch/entry"
	"daisyswitch/event"
	"daisyswitch/installation"
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

// memberGC is by how many percent of what is in use the heap of a member may grow before garbage is collected:
// a leader of 490 workers, which may take 200 MB, has some 35 MB in use beside its stacks.
const memberGC = 150

type memberCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
}

// Execute runs a control process that finds its group through seeds, until it is told to stop.
func (c *memberCommand) Execute([]string) error {
	s, err := settings.LoadMember(c.Settings)
	if err != nil {
		return &usageError{err}
	}
	debug.SetGCPercent(memberGC)
	return run(s.Common, settings.RoleMember, func() (*process, error) {
		m, err := installation.NewMember(c.Settings, s)
		if err != nil {
			return nil, err
		}
		return &process{ready: m.Ready, live: m.Live, close: m.Close, metrics: m.Metrics()}, nil
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
		g, err := installation.NewGateway(c.Settings, s)
		if err != nil {
			return nil, err
		}
		return &process{ready: g.Ready, close: g.Close, metrics: g.Metrics()}, nil
	})
}

// process is a running role.
type process struct {
	ready   func() error
	live    func() error // nil: always
	close   func() error
	metrics *metrics.Set
}

// How often a process looks at itself.
const (
	readyLook = 100 * time.Millisecond // whether it is ready, while it starts; a tenth of what the balancer waits between its own looks
	liveLook  = 500 * time.Millisecond // whether it can still do its part; well under the time that a group bears one loss
)

// awaitEnd waits for a signal to stop, or for the process to fail, and tells once when it is ready.
func awaitEnd(signals <-chan os.Signal, p *process, name string) (os.Signal, error) {
	ready := time.NewTicker(readyLook)
	defer ready.Stop()
	live := time.NewTicker(liveLook)
	defer live.Stop()
	for {
		select {
		case received := <-signals:
			return received, nil
		case <-ready.C:
			if p.ready() == nil {
				event.ProcessReady.Info("name", name)
				ready.Stop()
			}
		case <-live.C:
			if p.live == nil {
				live.Stop()
				continue
			}
			if err := p.live(); err != nil {
				return nil, err
			}
		}
	}
}

// run starts a role with its admin listener, waits for a signal to stop, and stops it gracefully.
func run(s settings.Common, role string, start func() (*process, error)) error {
	sink := event.NewSink(os.Stdout)
	if err := sink.Install(); err != nil {
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
	received, failure := awaitEnd(signals, p, s.Name)
	if failure != nil {
		event.ProcessFailed.Error(failure, "role", role, "name", s.Name)
	} else {
		event.ProcessStopping.Info("signal", received.String())
	}
	err = errors.Join(failure, p.close(), admin.Close())
	event.ProcessStopped.Info("role", role, "name", s.Name)
	return err
}
