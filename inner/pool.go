package inner

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"daisyswitch/verdict"

	"storj.io/drpc/drpcconn"
)

// Options configures a Pool.
type Options struct {
	Dial           func(ctx context.Context, address string) (net.Conn, error) // TCP when nil
	Idle           int                                                         // most idle connections per address
	MaxIdleTime    time.Duration                                               // idle time after which a connection is closed instead of reused
	ConnectTimeout time.Duration
}

const (
	defaultIdle     = 4
	defaultIdleFor  = 30 * time.Second
	defaultDialTime = time.Second
)

// Pool keeps idle connections for reuse. A drpc connection carries only one call at a time.
type Pool struct {
	options Options

	mu     sync.Mutex
	idle   map[string][]idleConn
	closed bool
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// New returns an empty pool, with defaults for options that are not set.
func New(o Options) *Pool {
	if o.Dial == nil {
		o.Dial = DialTCP
	}
	if o.Idle == 0 {
		o.Idle = defaultIdle
	}
	if o.MaxIdleTime == 0 {
		o.MaxIdleTime = defaultIdleFor
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultDialTime
	}
	return &Pool{options: o, idle: map[string][]idleConn{}}
}

// DialTCP connects over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Do runs call on a connection to address. Its error has the verdict NotRun if the connection failed and Unknown otherwise.
func (p *Pool) Do(ctx context.Context, address string, call func(*drpcconn.Conn) error) error {
	conn, err := p.get(ctx, address)
	if err != nil {
		return verdict.New(verdict.NotRun, fmt.Sprintf("cannot connect to %s", address), err)
	}
	if err := call(conn); err != nil {
		conn.Close()
		p.closeIdle(address)
		return verdict.New(verdict.Unknown, fmt.Sprintf("no answer from %s", address), err)
	}
	p.putIdle(address, conn)
	return nil
}

// Dial returns a new connection outside the pool, for a long-lived stream.
func (p *Pool) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ConnectTimeout)
	defer cancel()
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

func (p *Pool) get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn := p.takeIdle(address); conn != nil {
		return conn, nil
	}
	return p.Dial(ctx, address)
}

func (p *Pool) takeIdle(address string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		conns := p.idle[address]
		if len(conns) == 0 {
			return nil
		}
		last := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		if time.Since(last.since) < p.options.MaxIdleTime && !isClosed(last.conn) {
			return last.conn
		}
		last.conn.Close()
	}
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

func (p *Pool) putIdle(address string, conn *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[address]) >= p.options.Idle {
		conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], idleConn{conn, time.Now()})
}

// closeIdle closes the idle connections to an address, because a failure of one often affects the others too.
func (p *Pool) closeIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		c.conn.Close()
	}
}

// Close closes all idle connections. Connections in use are closed when their calls end.
func (p *Pool) Close() error {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]idleConn{}
	p.closed = true
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			c.conn.Close()
		}
	}
	return nil
}
