package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"daisyswitch/verdict"
)

// Options configures connections to upstreams; zero values are replaced by Defaults.
type Options struct {
	Dial              func(ctx context.Context, address string) (net.Conn, error)
	DialTimeout       time.Duration // per connection
	IdleConnTimeLimit time.Duration // how long an idle connection is kept
	FreshIdleLimit    time.Duration // a connection idle for longer is not used for requests that need a fresh one
	FirstByteTimeout  time.Duration // how long a reused connection may take to deliver the first byte of a response
	HeaderBytes       int64         // limit on the head of a response
}

// Defaults are the values used for zero fields of Options.
var Defaults = Options{
	Dial:              dialTCP,
	DialTimeout:       300 * time.Millisecond,
	IdleConnTimeLimit: 500 * time.Millisecond,
	FreshIdleLimit:    time.Millisecond,
	FirstByteTimeout:  400 * time.Millisecond,
	HeaderBytes:       64 << 10,
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = Defaults.Dial
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = Defaults.DialTimeout
	}
	if o.IdleConnTimeLimit == 0 {
		o.IdleConnTimeLimit = Defaults.IdleConnTimeLimit
	}
	if o.FreshIdleLimit == 0 {
		o.FreshIdleLimit = Defaults.FreshIdleLimit
	}
	if o.FirstByteTimeout == 0 {
		o.FirstByteTimeout = Defaults.FirstByteTimeout
	}
	if o.HeaderBytes == 0 {
		o.HeaderBytes = Defaults.HeaderBytes
	}
	return o
}

// ErrDial is the cause of an error when no connection could be opened.
var ErrDial = errors.New("dialing the upstream failed")

// Pool holds the connections of one entry to one upstream.
type Pool struct {
	options      Options
	address      string
	lastActivity atomic.Int64 // when a connection older than the first-byte timeout last delivered a byte, in Unix nanoseconds

	mu     sync.Mutex
	idle   []*conn // oldest first
	open   int     // idle, in use or being dialed
	limit  int
	closed bool
}

// New returns an empty pool for the upstream at address.
func New(address string, limit int, o Options) *Pool {
	return &Pool{options: o.withDefaults(), address: address, limit: limit}
}

// SetLimit changes how many connections may be open; idle ones above the limit are closed at once.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open > p.limit && len(p.idle) > 0 {
		p.closeOldest()
	}
}

// Open returns the number of open connections, including those being dialed.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Prune closes connections that have been idle for too long.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.options.IdleConnTimeLimit {
		p.closeOldest()
	}
}

// Close closes the idle connections now and those in use when their exchanges end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeOldest()
	}
}

// closeOldest is called with the lock held.
func (p *Pool) closeOldest() {
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.open--
	c.Close()
}

// acquire returns an idle or a new connection; its errors have the verdict not-run.
func (p *Pool) acquire(ctx context.Context, fresh bool) (*conn, error) {
	bound := p.options.IdleConnTimeLimit
	if fresh {
		bound = p.options.FreshIdleLimit
	}
	for {
		c, err := p.reuseIdle(bound)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.alive() {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
}

// reuseIdle returns the connection used last if it has been idle for at most bound. Otherwise it reserves capacity for a new one and returns nil.
func (p *Pool) reuseIdle(bound time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, verdict.New(verdict.NotRun, "the upstream has been removed", nil)
	}
	if n := len(p.idle); n > 0 && time.Since(p.idle[n-1].idleSince) <= bound {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		p.closeOldest()
	}
	if p.open >= p.limit {
		return nil, verdict.New(verdict.NotRun, "all connections to the upstream are in use", nil)
	}
	p.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(dialCtx, p.address)
	if err != nil {
		p.releaseCapacity()
		return nil, verdict.New(verdict.NotRun, "no connection to the upstream could be opened", errors.Join(ErrDial, err))
	}
	return newConn(raw, p.options.HeaderBytes), nil
}

func (p *Pool) releaseCapacity() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) discard(c *conn) {
	c.Close()
	p.releaseCapacity()
}

// returnIdle returns a connection to the pool after a complete exchange.
func (p *Pool) returnIdle(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit {
		p.open--
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}
