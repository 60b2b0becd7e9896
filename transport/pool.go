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

// Options says how an entry connects to its upstreams; zero values take the defaults.
type Options struct {
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	DialTimeout time.Duration // of one connection
	IdleAge     time.Duration // longest time without use that a connection is kept
	QuietBound  time.Duration // a connection quiet for longer carries no request that must have a fresh one
	FirstByte   time.Duration // longest silence of a reused connection after a request
	HeaderBytes int64         // of an answer
}

// Defaults are the values that stand for zero ones in Options.
var Defaults = Options{
	Dial:        dialTCP,
	DialTimeout: 300 * time.Millisecond,
	IdleAge:     500 * time.Millisecond,
	QuietBound:  time.Millisecond,
	FirstByte:   400 * time.Millisecond,
	HeaderBytes: 64 << 10,
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = Defaults.Dial
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = Defaults.DialTimeout
	}
	if o.IdleAge == 0 {
		o.IdleAge = Defaults.IdleAge
	}
	if o.QuietBound == 0 {
		o.QuietBound = Defaults.QuietBound
	}
	if o.FirstByte == 0 {
		o.FirstByte = Defaults.FirstByte
	}
	if o.HeaderBytes == 0 {
		o.HeaderBytes = Defaults.HeaderBytes
	}
	return o
}

// ErrDial is the cause when no connection could be opened.
var ErrDial = errors.New("dial failed")

// Pool holds the connections of one entry to one upstream.
type Pool struct {
	options Options
	address string
	proven  atomic.Int64 // when a connection of some age last showed life, Unix nanoseconds

	mu     sync.Mutex
	idle   []*conn // oldest first
	open   int     // idle, in use and being dialled
	limit  int
	closed bool
}

// New returns an empty pool for the upstream at address.
func New(address string, limit int, o Options) *Pool {
	return &Pool{options: o.withDefaults(), address: address, limit: limit}
}

// SetLimit changes how many connections may be open; idle ones above it are closed at once.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open > p.limit && len(p.idle) > 0 {
		p.closeOldest()
	}
}

// Open returns the number of connections held.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Prune closes connections that have been idle for too long.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].quiet) > p.options.IdleAge {
		p.closeOldest()
	}
}

// Close closes the idle connections, and those in use as they finish.
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

// take returns a connection fit for the request; its errors say that the request did not run.
func (p *Pool) take(ctx context.Context, fresh bool) (*conn, error) {
	bound := p.options.IdleAge
	if fresh {
		bound = p.options.QuietBound
	}
	for {
		c, err := p.reuse(bound)
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
		p.drop(c)
	}
}

// reuse returns the connection used last if it was quiet for less than bound, or nil with room reserved for a new one.
func (p *Pool) reuse(bound time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, verdict.New(verdict.NotRun, "upstream is gone", nil)
	}
	if n := len(p.idle); n > 0 && time.Since(p.idle[n-1].quiet) <= bound {
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
		p.release()
		return nil, verdict.New(verdict.NotRun, "no connection to the upstream", errors.Join(ErrDial, err))
	}
	return newConn(raw, p.options.HeaderBytes), nil
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) drop(c *conn) {
	c.Close()
	p.release()
}

// put keeps a connection whose exchange ended cleanly.
func (p *Pool) put(c *conn) {
	c.quiet = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit {
		p.open--
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}
