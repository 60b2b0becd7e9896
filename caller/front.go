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
	"daisyswitch/ingress"
	"daisyswitch/queue"
	"daisyswitch/retry"
	"daisyswitch/upstream"
	"daisyswitch/wire"
)

// Options configures a Front; zero values are replaced by Defaults.
type Options struct {
	Registry       *upstream.Registry
	HeaderBytes    int64
	BodyBytes      int64
	HeaderTimeout  time.Duration    // for all headers of a request, and for the first bytes of its body
	IdleTimeout    time.Duration    // of a caller's connection between requests
	RequestTimeout time.Duration    // used if the request has no timeout header
	QueueTimeout   time.Duration    // longest wait for a slot
	RetryPercent   int64            // retries allowed, in percent of recent requests
	Ingress        *ingress.Process // limits for clients; ingress.Default if nil
	Connections    int              // share of the process's connections, in eighths
}

// Defaults are the values used for zero fields of Options.
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
	setDefault(&o.Connections, ingress.AllConnections)
	if o.Ingress == nil {
		o.Ingress = ingress.Default()
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Front is the HTTP server for callers.
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

// New returns a Front that forwards to the registry's upstreams.
func New(o Options) *Front {
	o.setDefaults()
	f := &Front{options: o, registry: o.Registry, budget: retry.New(o.RetryPercent), classes: class.NewTable()}
	f.queue = queue.New(queue.Options[*upstream.Slot]{Take: f.takeSlot})
	f.registry.SetChanged(f.queue.Wake)
	f.registerGauges()
	f.server = &http.Server{
		Handler:           o.Ingress.Track(f),
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    int(o.HeaderBytes),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if guarded, ok := c.(*guard.Conn); ok {
				ctx = ingress.ConnContext(ctx, guarded.Conn)
			}
			return guard.WithConn(ctx, c)
		},
	}
	return f
}

func (f *Front) takeSlot(class string, skip []string) (slot *upstream.Slot, free, absent bool) {
	slot, availability := f.registry.Take(class, skip)
	return slot, availability == upstream.Free, availability == upstream.Absent
}

// SetConfiguration applies a committed configuration; an older version is ignored.
func (f *Front) SetConfiguration(c *wire.Configuration) {
	f.classes.Set(c)
	f.registry.SetConfiguration(c)
}

// Samples returns the measurements of each class since the last call.
func (f *Front) Samples() []*wire.ServiceSample {
	return f.classes.Samples()
}

// Serve accepts callers on l until Close. It wraps l in a guard.Listener, which validates the raw bytes that net/http hides.
func (f *Front) Serve(l net.Listener) error {
	err := f.server.Serve(&guard.Listener{Listener: f.options.Ingress.Listen(l, f.options.Connections)})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	event.ListenFailed.Error(err, "listener", "callers")
	return err
}

// Drain makes callers reconnect elsewhere: each further response closes its connection.
func (f *Front) Drain() {
	f.draining.Store(true)
}

// Close stops listening and waits for the requests in progress without interrupting them.
func (f *Front) Close() error {
	f.Drain()
	err := f.server.Shutdown(context.Background())
	f.active.Wait()
	return err
}

// ServeHTTP forwards one request to an upstream and relays the response.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Done()
	conn := guard.ConnOf(r)
	conn.Begin()
	defer conn.Next()
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{front: f, w: w, r: r, startedAt: time.Now(), control: http.NewResponseController(w)}
	defer x.releaseBody()
	x.serve()
}
