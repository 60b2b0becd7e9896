package neighbor

import (
	"context"
	"sync"
	"time"

	"daisyswitch/group"
	"daisyswitch/inner"
	"daisyswitch/settings"
	"daisyswitch/wire"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

const (
	defaultInterval = 500 * time.Millisecond
	exchangeTimeout = time.Second
	aliveTimeout    = 3 * time.Second
)

// Options configures an Exchange.
type Options struct {
	Name                 string
	Neighbors            []settings.Neighbor // may include this entry, which is ignored
	Pool                 *inner.Pool
	Every                time.Duration
	BuildExchangeRequest func(theirVersion uint64) *wire.Gossip // builds the message to an entry with that configuration version
	BuildExchangeReply   func(theirVersion uint64) *wire.Gossip // builds the reply to an entry with that configuration version
	OnExchangeRequest    func(*wire.Gossip)                     // receives the message of an exchange that another entry started
	OnExchangeReply      func(asked time.Time, g *wire.Gossip)  // receives a reply and the time at which it was requested
}

// Exchange exchanges gossip with every other entry periodically and serves their requests.
type Exchange struct {
	options Options
	cancel  context.CancelFunc
	wait    group.Group
	loops   []exchangeLoop

	mu           sync.Mutex
	versions     map[string]uint64    // last received configuration version, by entry
	lastReceived map[string]time.Time // time of the last message, by entry
}

// New returns an exchange that replies to other entries. It sends messages only after Start.
func New(o Options) *Exchange {
	if o.Every == 0 {
		o.Every = defaultInterval
	}
	e := &Exchange{
		options:      o,
		cancel:       func() {},
		versions:     map[string]uint64{},
		lastReceived: map[string]time.Time{},
	}
	for _, n := range o.Neighbors {
		if n.Name != o.Name {
			e.loops = append(e.loops, exchangeLoop{neighbor: n, wake: make(chan struct{}, 1)})
		}
	}
	return e
}

// Start starts the periodic exchange with each neighbor.
func (e *Exchange) Start() {
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(context.Background())
	for _, t := range e.loops {
		e.wait.Go(func() { e.exchangeLoop(ctx, t) })
	}
}

// Register registers the service for other entries with the mux.
func (e *Exchange) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterNeighbor(mux, server{e})
}

// ExchangeNow starts an exchange with every neighbor at once, for updates that should not wait for the next interval.
func (e *Exchange) ExchangeNow() {
	for _, t := range e.loops {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// Alive returns how many neighbors have sent a message recently.
func (e *Exchange) Alive() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.lastReceived {
		if time.Since(at) < aliveTimeout {
			n++
		}
	}
	return n
}

// exchangeLoop is the state of the goroutine that exchanges gossip with one neighbor.
type exchangeLoop struct {
	neighbor settings.Neighbor
	wake     chan struct{}
}

func (e *Exchange) exchangeLoop(ctx context.Context, t exchangeLoop) {
	ticker := time.NewTicker(e.options.Every)
	defer ticker.Stop()
	for {
		e.exchangeOnce(ctx, t.neighbor)
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-ticker.C:
		}
	}
}

func (e *Exchange) exchangeOnce(ctx context.Context, n settings.Neighbor) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	message := e.options.BuildExchangeRequest(e.knownVersion(n.Name))
	requestedAt := time.Now()
	_ = e.options.Pool.Do(ctx, n.Inner, func(conn *drpcconn.Conn) error {
		reply, err := wire.NewDRPCNeighborClient(conn).Exchange(ctx, message)
		if err != nil {
			return err
		}
		e.recordGossip(reply)
		e.options.OnExchangeReply(requestedAt, reply)
		return nil
	})
}

func (e *Exchange) knownVersion(name string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[name]
}

func (e *Exchange) recordGossip(g *wire.Gossip) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[g.Entry] = g.Version
	e.lastReceived[g.Entry] = time.Now()
}

type server struct {
	exchange *Exchange
}

// Exchange processes another entry's gossip and replies with that of this entry.
func (s server) Exchange(_ context.Context, g *wire.Gossip) (*wire.Gossip, error) {
	s.exchange.recordGossip(g)
	s.exchange.options.OnExchangeRequest(g)
	return s.exchange.options.BuildExchangeReply(g.Version), nil
}

// Close stops all exchanges and waits for them to end.
func (e *Exchange) Close() error {
	e.cancel()
	e.wait.Wait()
	return nil
}
