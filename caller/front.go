package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"daisyswitch/class"
	"daisyswitch/event"
	"daisyswitch/guard"
	"daisyswitch/queue"
	"daisyswitch/retry"
	"daisyswitch/upstream"
	"daisyswitch/wire"
)

// Options says what the front takes from callers; zero values take the defaults.
type Options struct {
	Registry       *upstream.Registry
	HeaderBytes    int64
	BodyBytes      int64
	HeaderTimeout  time.Duration // for all headers of a request, and for the start of its body
	IdleTimeout    time.Duration // of a caller's connection between requests
	RequestTimeout time.Duration // when a caller names none
	QueueTimeout   time.Duration // longest wait for a slot
	RetryPercent   int64         // of recent requests
}

// Defaults are the values that stand for zero ones in Options.
var Defaults = Options{
	HeaderBytes:    32 << 10,
	BodyBytes:      1 << 30,
	HeaderTimeout:  5 * time.Second,
	IdleTimeout:    2 * time.Minute,
	RequestTimeout: 30 * time.Second,
	QueueTimeout:   2 * time.Second,
	RetryPercent:   10,
}

func (o *Options) setDefaults() {
	setDefault(&o.HeaderBytes, Defaults.HeaderBytes)
	setDefault(&o.BodyBytes, Defaults.BodyBytes)
	setDefault(&o.HeaderTimeout, Defaults.HeaderTimeout)
	setDefault(&o.IdleTimeout, Defaults.IdleTimeout)
	setDefault(&o.RequestTimeout, Defaults.RequestTimeout)
	setDefault(&o.QueueTimeout, Defaults.QueueTimeout)
	setDefault(&o.RetryPercent, Defaults.RetryPercent)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Front serves callers.
type Front struct {
	options  Options
	registry *upstream.Registry
	queue    *queue.Queue[*upstream.Slot]
	budget   *retry.Budget
	classes  *class.Table
	server   *http.Server
	draining atomic.Bool
	active   sync.WaitGroup
}

// New returns a front that forwards to the registry's upstreams.
func New(o Options) *Front {
	o.setDefaults()
	f := &Front{options: o, registry: o.Registry, budget: retry.New(o.RetryPercent), classes: class.NewTable()}
	f.queue = queue.New(queue.Options[*upstream.Slot]{Take: f.take})
	f.registry.SetChanged(f.queue.Wake)
	f.registerGauges()
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    int(o.HeaderBytes),
		ConnContext:       guard.WithConn,
	}
	return f
}

func (f *Front) take(class string, skip []string) (slot *upstream.Slot, free, absent bool) {
	slot, availability := f.registry.Take(class, skip)
	return slot, availability == upstream.Free, availability == upstream.Absent
}

// SetConfiguration puts an accepted configuration in force; an older version is ignored.
func (f *Front) SetConfiguration(c *wire.Configuration) {
	f.classes.Set(c)
	f.registry.SetConfiguration(c)
}

// Samples returns what was measured for each class since the last call.
func (f *Front) Samples() []*wire.ServiceSample {
	return f.classes.Samples()
}

// Serve answers callers on l until Close; it adds the checks that need the bytes as sent.
func (f *Front) Serve(l net.Listener) error {
	err := f.server.Serve(&guard.Listener{Listener: l})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	event.ListenFailed.Error(err, "listener", "callers")
	return err
}

// Drain lets callers move away: each answer from now on is the last of its connection.
func (f *Front) Drain() {
	f.draining.Store(true)
}

// Close stops listening and waits for the requests in progress; it cuts none.
func (f *Front) Close() error {
	f.Drain()
	err := f.server.Shutdown(context.Background())
	f.active.Wait()
	return err
}

// ServeHTTP forwards one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Done()
	conn := guard.Of(r)
	conn.Begin()
	defer conn.Next()
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{front: f, w: w, r: r, began: time.Now(), control: http.NewResponseController(w)}
	x.serve()
}
