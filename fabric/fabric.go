package fabric

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"
)

// Fabric connects hosts. The host of an address is the part before the colon.
type Fabric struct {
	delay time.Duration // one-way delay of each write

	mu        sync.Mutex
	listeners map[string]*listener // by address
	cuts      map[link]bool
}

// link is a pair of hosts, ordered by name.
type link struct {
	a, b string
}

func linkOf(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// New returns a fabric in which each write is delayed by delay.
func New(delay time.Duration) *Fabric {
	return &Fabric{delay: delay, listeners: map[string]*listener{}, cuts: map[link]bool{}}
}

// Cut partitions two hosts. A connection that is written to meanwhile stays silent permanently, and new dials block.
func (f *Fabric) Cut(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[linkOf(a, b)] = true
}

// Heal ends the partition of two hosts. Connections that have discarded data stay silent.
func (f *Fabric) Heal(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cuts, linkOf(a, b))
}

func (f *Fabric) isCut(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[linkOf(a, b)]
}

// Dialer returns the dial function of the host from.
func (f *Fabric) Dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to, _, _ := strings.Cut(address, ":")
		if f.isCut(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		f.mu.Lock()
		l := f.listeners[address]
		f.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		near, far := net.Pipe()
		select {
		case l.accepted <- &conn{Conn: far, fabric: f, from: to, to: from}:
			return &conn{Conn: near, fabric: f, from: from, to: to}, nil
		case <-l.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Listen returns a listener for connections to address.
func (f *Fabric) Listen(address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listeners[address] != nil {
		return nil, errors.New("address already in use")
	}
	l := &listener{fabric: f, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[address] = l
	return l, nil
}

type listener struct {
	fabric   *Fabric
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and releases its address.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.fabric.mu.Lock()
		delete(l.fabric.listeners, l.address)
		l.fabric.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr returns the address listened on.
func (l *listener) Addr() net.Addr {
	return address(l.address)
}

type address string

// Network returns the network name "fabric".
func (address) Network() string { return "fabric" }

// String returns the address in the form used for dialing.
func (a address) String() string { return string(a) }

// conn discards all data from the first write during a cut on.
type conn struct {
	net.Conn
	fabric   *Fabric
	from, to string

	mu     sync.Mutex
	silent bool
}

// Write delivers the data after the delay, or discards it once the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	if c.fabric.delay > 0 {
		time.Sleep(c.fabric.delay)
	}
	if c.swallows() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *conn) swallows() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = c.silent || c.fabric.isCut(c.from, c.to)
	return c.silent
}
