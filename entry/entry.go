package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"daisyswitch/caller"
	"daisyswitch/group"
	"daisyswitch/ingress"
	"daisyswitch/inner"
	"daisyswitch/leader"
	"daisyswitch/neighbor"
	"daisyswitch/operator"
	"daisyswitch/settings"
	"daisyswitch/upstream"
	"daisyswitch/watch"
	"daisyswitch/wire"
	"daisyswitch/worker"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
)

// Options configures an Entry.
type Options struct {
	Settings *settings.Entry
	Ingress  *ingress.Process // limits for clients; ingress.Default if nil
}

// Entry is one entry process.
type Entry struct {
	settings  *settings.Entry
	clients   *ingress.Process
	pool      *inner.Pool
	leader    *leader.Leader
	holder    *watch.Holder
	watch     *watch.Watch
	exchange  *neighbor.Exchange
	upstreams *upstream.Registry
	callers   *caller.Front
	workers   *worker.Front
	inner     *inner.Server
	listeners []*listener
	wait      group.Group
	stopping  atomic.Bool
	metrics   *metrics.Set
}

// New starts an entry with all its listeners; callers' requests are refused until it has received a configuration.
func New(o Options) (*Entry, error) {
	s := o.Settings
	if o.Ingress == nil {
		o.Ingress = ingress.Default()
	}
	e := &Entry{settings: s, clients: o.Ingress, pool: inner.New(inner.Options{})}
	e.leader = leader.New(e.pool, innerAddresses(s.Control))
	e.upstreams = upstream.New(upstream.Options{
		Name:    s.Name,
		Domain:  s.Domain,
		Entries: countEntries(s),
		Seed:    uint64(time.Now().UnixNano()),
	})
	e.callers = caller.New(callerOptions(s.Limits, e.upstreams, o.Ingress))
	e.holder = watch.NewHolder(e.applyConfiguration)
	e.workers = worker.New(worker.Options{
		Entry:   s.Name,
		Domain:  s.Domain,
		Report:  e.leader.Report,
		Version: e.holder.Version,
		Samples: e.callers.Samples,
	})
	e.exchange = neighbor.New(neighbor.Options{
		Name:                 s.Name,
		Neighbors:            s.Entries,
		Pool:                 e.pool,
		BuildExchangeRequest: e.composeRequest,
		BuildExchangeReply:   e.composeReply,
		OnExchangeRequest:    e.receiveRequest,
		OnExchangeReply:      e.receiveReply,
	})
	e.watch = watch.New(watch.Options{
		Entry:    s.Name,
		Domain:   s.Domain,
		Replicas: s.Control,
		Dial:     func(ctx context.Context, address string) (*drpcconn.Conn, error) { return e.pool.Dial(ctx, address) },
		Holder:   e.holder,
	})
	e.metrics = e.newMetrics()
	e.exchange.Start()
	if err := e.listen(); err != nil {
		return nil, errors.Join(err, e.Close())
	}
	return e, nil
}

func callerOptions(l settings.Limits, upstreams *upstream.Registry, clients *ingress.Process) caller.Options {
	return caller.Options{
		Registry:       upstreams,
		HeaderBytes:    l.HeaderBytes,
		BodyBytes:      l.BodyBytes,
		HeaderTimeout:  time.Duration(l.HeaderTimeoutMS) * time.Millisecond,
		RequestTimeout: time.Duration(l.RequestTimeoutMS) * time.Millisecond,
		QueueTimeout:   time.Duration(l.QueueTimeoutMS) * time.Millisecond,
		RetryPercent:   l.RetryPercent,
		Ingress:        clients,
		Connections:    callerShare,
	}
}

func innerAddresses(replicas []settings.Replica) []string {
	var out []string
	for _, r := range replicas {
		out = append(out, r.Inner)
	}
	return out
}

// countEntries returns the number of all entries in the settings, reachable or not, since an entry that is partitioned from this one still holds its connections to upstreams.
func countEntries(s *settings.Entry) int {
	n := 1
	for _, other := range s.Entries {
		if other.Name != s.Name {
			n++
		}
	}
	return n
}

func (e *Entry) listen() error {
	mux := drpcmux.New()
	if err := e.exchange.Register(mux); err != nil {
		return fmt.Errorf("register exchange: %w", err)
	}
	var err error
	if e.inner, err = inner.Listen(inner.ListenTCP, e.settings.InnerAddress(), mux); err != nil {
		return err
	}
	platform := httprouter.New()
	platform.POST(worker.PollPath, e.workers.Poll)
	platform.Handler("POST", upstream.Path, e.upstreams.Handler())
	operators := operator.New(operator.Options{
		Propose: e.leader.Propose,
		Read:    e.leader.Read,
		Current: e.holder.Current,
	})
	return errors.Join(
		e.serveCallers(),
		e.serve("platform", e.settings.Platform, platform, platformShare),
		e.serve("operators", e.settings.Operators, operators, operatorShare),
	)
}

func (e *Entry) serveCallers() error {
	socket, err := net.Listen("tcp", e.settings.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	e.wait.Go(func() { _ = e.callers.Serve(socket) })
	return nil
}

func (e *Entry) serve(name, address string, handler http.Handler, share int) error {
	l := newListener(name, handler, e.settings.Limits, e.clients, share)
	if err := l.start(address); err != nil {
		return err
	}
	e.listeners = append(e.listeners, l)
	return nil
}

// applyConfiguration applies a new configuration to this process and triggers an exchange that sends it to the other entries.
func (e *Entry) applyConfiguration(c *wire.Configuration) {
	e.callers.SetConfiguration(c)
	e.exchange.ExchangeNow()
}

// composeRequest returns the gossip that the entry sends in a request: only what must not wait until the other entry asks for it.
func (e *Entry) composeRequest(theirVersion uint64) *wire.Gossip {
	return e.composeGossip(theirVersion, leavingOnly(e.upstreams.Announcements(time.Now())))
}

// composeReply returns the gossip that answers another entry's request, with all announcements and loads of upstreams. Only for a reply can the receiver bound the age.
func (e *Entry) composeReply(theirVersion uint64) *wire.Gossip {
	g := e.composeGossip(theirVersion, e.upstreams.Announcements(time.Now()))
	g.Loads = e.upstreams.Loads()
	return g
}

func (e *Entry) composeGossip(theirVersion uint64, announcements []*wire.Announcement) *wire.Gossip {
	g := &wire.Gossip{
		Entry:         e.settings.Name,
		Domain:        e.settings.Domain,
		Announcements: announcements,
		Leaving:       e.stopping.Load(),
	}
	current := e.holder.Current()
	g.Version = current.GetVersion()
	if g.Version > theirVersion {
		g.Configuration = current
	}
	return g
}

// receiveRequest processes the gossip in another entry's request. It uses only what is valid at any age: a newer configuration, and upstreams that are leaving.
func (e *Entry) receiveRequest(g *wire.Gossip) {
	e.holder.Offer(g.Configuration, g.Entry)
	e.upstreams.Merge(time.Now(), leavingOnly(g.Announcements))
}

func (e *Entry) receiveReply(requestedAt time.Time, g *wire.Gossip) {
	e.holder.Offer(g.Configuration, g.Entry)
	e.upstreams.Merge(requestedAt, g.Announcements)
	e.upstreams.SetLoads(g.Entry, g.Domain, time.Now(), g.Loads)
}

func leavingOnly(announcements []*wire.Announcement) []*wire.Announcement {
	var out []*wire.Announcement
	for _, a := range announcements {
		if a.Leaving {
			out = append(out, a)
		}
	}
	return out
}

// Ready returns nil if the load balancer should route callers to this entry, otherwise the reason why not.
func (e *Entry) Ready() error {
	if e.stopping.Load() {
		return errors.New("stopping")
	}
	if e.holder.Current() == nil {
		return errors.New("no configuration has arrived")
	}
	return nil
}

// Close stops the entry gracefully: it reports not ready, waits DrainMS for the load balancer to notice, refuses new requests and finishes those in progress.
func (e *Entry) Close() error {
	e.stopping.Store(true)
	e.callers.Drain()
	if e.holder.Current() != nil {
		time.Sleep(time.Duration(e.settings.DrainMS) * time.Millisecond)
	}
	failed := e.callers.Close()
	for _, l := range e.listeners {
		failed = errors.Join(failed, l.close())
	}
	e.wait.Wait()
	failed = errors.Join(failed, e.workers.Close(), e.watch.Close(), e.exchange.Close())
	if e.inner != nil {
		failed = errors.Join(failed, e.inner.Close())
	}
	e.upstreams.Close()
	return errors.Join(failed, e.pool.Close())
}
