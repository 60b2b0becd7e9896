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
	defaultEvery = 500 * time.Millisecond
	exchangeTime = time.Second
	aliveFor     = 3 * time.Second
)

// Options configures an Exchange.
type Options struct {
	Name      string
	Neighbors []settings.Neighbor // the entry's own name is passed over
	Pool      *inner.Pool
	Every     time.Duration
	Ask       func(theirVersion uint64) *wire.Gossip // what to say to one that holds that configuration version
	Answer    func(theirVersion uint64) *wire.Gossip // what to answer it
	Asked     func(*wire.Gossip)                     // takes what another entry said unasked
	Answered  func(asked time.Time, g *wire.Gossip)  // takes an answer, and when it was asked for
}

// Exchange talks to every other entry in turn and answers them.
type Exchange struct {
	options Options
	cancel  context.CancelFunc
	wait    group.Group
	talks   []talk

	mu       sync.Mutex
	versions map[string]uint64    // configuration version last heard, by entry
	heard    map[string]time.Time // by entry
}

// New returns an exchange that answers, and speaks once it is started.
func New(o Options) *Exchange {
	if o.Every == 0 {
		o.Every = defaultEvery
	}
	e := &Exchange{
		options:  o,
		cancel:   func() {},
		versions: map[string]uint64{},
		heard:    map[string]time.Time{},
	}
	for _, n := range o.Neighbors {
		if n.Name != o.Name {
			e.talks = append(e.talks, talk{neighbor: n, poke: make(chan struct{}, 1)})
		}
	}
	return e
}

// Start begins to speak with each neighbor.
func (e *Exchange) Start() {
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(context.Background())
	for _, t := range e.talks {
		e.wait.Go(func() { e.talk(ctx, t) })
	}
}

// Register serves the exchange to other entries.
func (e *Exchange) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterNeighbor(mux, server{e})
}

// Poke has every neighbor told at once, when something should not wait for its turn.
func (e *Exchange) Poke() {
	for _, t := range e.talks {
		select {
		case t.poke <- struct{}{}:
		default:
		}
	}
}

// Alive returns how many neighbors were heard lately.
func (e *Exchange) Alive() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.heard {
		if time.Since(at) < aliveFor {
			n++
		}
	}
	return n
}

// talk is what one goroutine has with one neighbor.
type talk struct {
	neighbor settings.Neighbor
	poke     chan struct{}
}

func (e *Exchange) talk(ctx context.Context, t talk) {
	ticker := time.NewTicker(e.options.Every)
	defer ticker.Stop()
	for {
		e.once(ctx, t.neighbor)
		select {
		case <-ctx.Done():
			return
		case <-t.poke:
		case <-ticker.C:
		}
	}
}

func (e *Exchange) once(ctx context.Context, n settings.Neighbor) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTime)
	defer cancel()
	message := e.options.Ask(e.version(n.Name))
	asked := time.Now()
	_ = e.options.Pool.Do(ctx, n.Inner, func(conn *drpcconn.Conn) error {
		reply, err := wire.NewDRPCNeighborClient(conn).Exchange(ctx, message)
		if err != nil {
			return err
		}
		e.note(reply)
		e.options.Answered(asked, reply)
		return nil
	})
}

func (e *Exchange) version(name string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[name]
}

func (e *Exchange) note(g *wire.Gossip) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[g.Entry] = g.Version
	e.heard[g.Entry] = time.Now()
}

type server struct {
	exchange *Exchange
}

// Exchange takes in what another entry tells and answers with what this one knows.
func (s server) Exchange(_ context.Context, g *wire.Gossip) (*wire.Gossip, error) {
	s.exchange.note(g)
	s.exchange.options.Asked(g)
	return s.exchange.options.Answer(g.Version), nil
}

// Close ends all exchanges and waits.
func (e *Exchange) Close() error {
	e.cancel()
	e.wait.Wait()
	return nil
}
