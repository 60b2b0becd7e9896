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
	"daisyswitch/descriptor"
	"daisyswitch/disk"
	"daisyswitch/entry"
	"daisyswitch/event"
	"daisyswitch/ingress"
	"daisyswitch/installation"
	"daisyswitch/metric"
	"daisyswitch/settings"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

type entryCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
}

// Execute runs an entry until it receives a signal to stop or fails.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return &usageError{err}
	}
	return run(s.Common, "entry", func(limits *ingress.Process) (*process, error) {
		e, err := entry.New(entry.Options{Settings: s, Ingress: limits})
		if err != nil {
			return nil, err
		}
		return &process{ready: e.Ready, close: e.Close, metrics: e.Metrics()}, nil
	})
}

type controlCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
}

// Execute runs a control process until it receives a signal to stop or fails.
func (c *controlCommand) Execute([]string) error {
	s, err := settings.LoadControl(c.Settings)
	if err != nil {
		return &usageError{err}
	}
	return run(s.Common, "control", func(limits *ingress.Process) (*process, error) {
		r, err := control.New(control.Options{Settings: s})
		if err != nil {
			return nil, err
		}
		return &process{ready: r.Ready, live: r.Live, close: r.Close, metrics: r.Metrics()}, nil
	})
}

// machineOptions are facts about the machine that the platform knows and a settings file need not contain.
type machineOptions struct {
	MemoryMB int64 `long:"memory-mb" value-name:"MIB" description:"memory of the process, in place of memory_mb in the settings"`
	MaxFDs   int64 `long:"max-fds" value-name:"COUNT" description:"descriptors of the process, in place of max_fds in the settings"`
}

// applyTo replaces the settings for which an option is given.
func (o *machineOptions) applyTo(s *settings.Common) error {
	if o.MemoryMB != 0 {
		s.MemoryMB = o.MemoryMB
	}
	if o.MaxFDs != 0 {
		s.MaxFDs = o.MaxFDs
	}
	if err := s.CheckMachine(); err != nil {
		return &usageError{err}
	}
	return nil
}

// memberGCPercent is the GOGC value of a member: the percentage by which the heap may grow over the live heap before the next collection.
// A leader of 490 workers may use up to 200 MB, and its live heap is about 35 MB, stacks not counted.
const memberGCPercent = 150

type memberCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
	machineOptions
}

// Execute runs a control process that finds its group through seeds until it receives a signal to stop or fails.
func (c *memberCommand) Execute([]string) error {
	s, err := settings.LoadMember(c.Settings)
	if err != nil {
		return &usageError{err}
	}
	if err := c.applyTo(&s.Common); err != nil {
		return err
	}
	debug.SetGCPercent(memberGCPercent)
	return run(s.Common, settings.RoleMember, func(limits *ingress.Process) (*process, error) {
		m, err := installation.NewMember(c.Settings, s, limits)
		if err != nil {
			return nil, err
		}
		return &process{ready: m.Ready, live: m.Live, close: m.Close, metrics: m.Metrics()}, nil
	})
}

type gatewayCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
	machineOptions
}

// Execute runs a gateway until it receives a signal to stop or fails.
func (c *gatewayCommand) Execute([]string) error {
	s, err := settings.LoadGateway(c.Settings)
	if err != nil {
		return &usageError{err}
	}
	if err := c.applyTo(&s.Common); err != nil {
		return err
	}
	return run(s.Common, settings.RoleGateway, func(limits *ingress.Process) (*process, error) {
		g, err := installation.NewGateway(c.Settings, s, limits)
		if err != nil {
			return nil, err
		}
		return &process{ready: g.Ready, close: g.Close, metrics: g.Metrics()}, nil
	})
}

// process is a running role.
type process struct {
	ready   func() error
	live    func() error // nil if the role is always live
	close   func() error
	metrics *metrics.Set
}

// The intervals between a process's checks of its own state.
const (
	readyInterval      = 100 * time.Millisecond // readiness, during the start; a tenth of the load balancer's check interval
	startRetryInterval = 200 * time.Millisecond // while the disk is full
	liveInterval       = 500 * time.Millisecond // liveness; well under the time for which a group can run with one replica lost
)

// waitForStop waits for a signal or for a failed liveness check. It logs once that the process is ready.
func waitForStop(signals <-chan os.Signal, p *process, name string) (os.Signal, error) {
	ready := time.NewTicker(readyInterval)
	defer ready.Stop()
	live := time.NewTicker(liveInterval)
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

// startWithRoom starts a role, again and again while its disk is full. It returns nil if a signal to stop arrives meanwhile.
func startWithRoom(start func() (*process, error), signals <-chan os.Signal, name string) (*process, error) {
	for waiting := false; ; waiting = true {
		p, err := start()
		if !errors.Is(err, disk.ErrFull) {
			return p, err
		}
		if !waiting {
			event.StartWaitsForRoom.Error(err, "name", name)
		}
		select {
		case received := <-signals:
			event.ProcessStopping.Info("signal", received.String())
			return nil, nil
		case <-time.After(startRetryInterval):
		}
	}
}

// run starts a role with its admin listener, waits for a signal or a failure, and stops the role gracefully.
func run(s settings.Common, role string, start func(*ingress.Process) (*process, error)) error {
	bounds := ingress.LimitsFor(s.MemoryMB, s.MaxFDs)
	if role == settings.RoleMember {
		bounds.Connections = min(bounds.Connections, descriptor.Divide(int(s.MaxFDs)).Accepted())
	}
	debug.SetMemoryLimit(bounds.Soft)
	limits := ingress.New(bounds)
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
	p, err := startWithRoom(func() (*process, error) { return start(limits) }, signals, s.Name)
	if err != nil {
		return fmt.Errorf("start %s %s: %w", role, s.Name, err)
	}
	if p == nil {
		event.ProcessStopped.Info("role", role, "name", s.Name)
		return nil
	}
	admin, err := metric.New(metric.Options{Address: s.Admin, Ready: p.ready, Live: p.live, Sets: []*metrics.Set{p.metrics}, Ingress: limits})
	if err != nil {
		return fmt.Errorf("start %s %s: %w", role, s.Name, errors.Join(err, p.close()))
	}
	received, failure := waitForStop(signals, p, s.Name)
	if failure != nil {
		event.ProcessFailed.Error(failure, "role", role, "name", s.Name)
	} else {
		event.ProcessStopping.Info("signal", received.String())
	}
	err = errors.Join(failure, p.close(), admin.Close())
	event.ProcessStopped.Info("role", role, "name", s.Name)
	return err
}
