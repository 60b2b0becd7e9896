package fakelink

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// Mode selects how the link treats the bytes of a connection.
type Mode string

// The modes of a link.
const (
	Pass          Mode = "pass"   // bytes are forwarded
	Silent        Mode = "silent" // bytes are held without notice to either side until the mode changes, then forwarded
	SilentTowards Mode = "oneway" // like Silent, but only for bytes towards the forwarded address
	Slow          Mode = "slow"   // bytes are forwarded after SlowTime
	Forget        Mode = "forget" // connections open now stay silent permanently; new ones pass
	Reset         Mode = "reset"  // connections open now are reset; new ones pass
)

// SlowTime is the one-way delay of a slow link, a hundred times the usual delay between failure domains.
const SlowTime = 50 * time.Millisecond

// AllSources is the source name under which the mode of all sources without their own mode is stored.
const AllSources = ""

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// Forward is one address that the link listens on and its destination.
type Forward struct {
	Listen string                                       // IP:port; port 0 selects a free port
	To     string                                       // IP:port
	From   func(from net.Addr, opened time.Time) string // returns the name of a connection's source, called once modes differ by source; nil if sources need not be distinguished
}

// Link forwards connections to fixed addresses.
type Link struct {
	listeners []net.Listener
	running   conc.WaitGroup
	done      chan struct{} // closed by Close

	modesDiffer atomic.Bool // whether modes differ by source

	mu      sync.Mutex      // guards what follows
	modes   map[string]Mode // by source
	changed chan struct{}   // closed when a mode changes
	open    map[*pair]struct{}
}

// pair is an accepted connection with the connection it is forwarded to.
type pair struct {
	source    func() string // returns the name of the source that opened it
	forgotten chan struct{} // closed by Forget
	reset     chan struct{} // closed by Reset
}

// direction is the direction in which bytes are forwarded.
type direction int

const (
	towards direction = iota // the forwarded address
	back
)

// New listens on all addresses. It fails if one of them can't be listened on.
func New(forwards []Forward) (*Link, error) {
	l := &Link{done: make(chan struct{}), modes: map[string]Mode{AllSources: Pass}, changed: make(chan struct{}), open: map[*pair]struct{}{}}
	for _, f := range forwards {
		listener, err := net.Listen("tcp", f.Listen)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("fakelink: %w", err), l.Close())
		}
		l.listeners = append(l.listeners, listener)
		l.running.Go(func() { l.accept(listener, f) })
	}
	return l, nil
}

// Addresses returns the listening addresses in the order of the forwards.
func (l *Link) Addresses() []string {
	addresses := make([]string, len(l.listeners))
	for i, listener := range l.listeners {
		addresses[i] = listener.Addr().String()
	}
	return addresses
}

// Set changes the mode for all sources.
func (l *Link) Set(m Mode) error {
	return l.set(m, func(*pair) bool { return true }, func() {
		l.modes = map[string]Mode{AllSources: m}
		l.modesDiffer.Store(false)
	})
}

// SetFrom changes the mode for one source. Setting the mode that applies to all other sources removes its own mode.
func (l *Link) SetFrom(source string, m Mode) error {
	l.modesDiffer.Store(true)
	l.resolveSources()
	return l.set(m, func(p *pair) bool { return p.source() == source }, func() {
		l.modes[source] = m
		if m == l.modes[AllSources] {
			delete(l.modes, source)
		}
		l.modesDiffer.Store(len(l.modes) > 1)
	})
}

func (l *Link) set(m Mode, concerns func(*pair) bool, keep func()) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch m {
	case Pass, Silent, SilentTowards, Slow:
		keep()
		close(l.changed)
		l.changed = make(chan struct{})
	case Forget:
		l.removePairs(concerns, func(p *pair) { close(p.forgotten) })
	case Reset:
		l.removePairs(concerns, func(p *pair) { close(p.reset) })
	default:
		return fmt.Errorf("fakelink: mode %q is not one of %s, %s, %s, %s, %s and %s", m, Pass, Silent, SilentTowards, Slow, Forget, Reset)
	}
	return nil
}

// resolveSources resolves the source names of all open pairs. This may be slow, so the mutex is not held meanwhile.
func (l *Link) resolveSources() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, p := range open {
		p.source()
	}
}

// removePairs calls end for the open pairs selected by concerns and removes them from the open set. The mutex must be held.
func (l *Link) removePairs(concerns func(*pair) bool, end func(*pair)) {
	for p := range l.open {
		if concerns(p) {
			end(p)
			delete(l.open, p)
		}
	}
}

// mode returns the effective mode of a pair. The mutex must be held.
func (l *Link) mode(p *pair) Mode {
	if len(l.modes) > 1 {
		if m, set := l.modes[p.source()]; set {
			return m
		}
	}
	return l.modes[AllSources]
}

// Close closes all connections and waits for their goroutines.
func (l *Link) Close() error {
	close(l.done)
	for _, listener := range l.listeners {
		listener.Close()
	}
	l.running.Wait()
	return nil
}

func (l *Link) accept(listener net.Listener, f Forward) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		l.running.Go(func() { l.forward(near, f) })
	}
}

// forward connects near to a new connection to the destination. Both are closed together, at the latest when the link is closed.
func (l *Link) forward(near net.Conn, f Forward) {
	defer near.Close()
	p := &pair{forgotten: make(chan struct{}), reset: make(chan struct{}), source: func() string { return AllSources }}
	if f.From != nil {
		opened := time.Now()
		p.source = sync.OnceValue(func() string { return f.From(near.RemoteAddr(), opened) })
	}
	l.mu.Lock()
	l.open[p] = struct{}{}
	l.mu.Unlock()
	defer l.remove(p)
	if !l.wait(p, towards, near) {
		return
	}
	far, err := net.DialTimeout("tcp", f.To, dialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	var both conc.WaitGroup
	ended := make(chan struct{}, 2)
	both.Go(func() { l.copy(p, far, near, towards, ended) })
	both.Go(func() { l.copy(p, near, far, back, ended) })
	select {
	case <-ended:
	case <-l.done:
	case <-p.reset:
		abort(near)
		abort(far)
	}
	near.Close()
	far.Close()
	both.Wait()
}

// abort makes closing the connection send a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // a connection that is already closed needs no reset
	}
}

// wasReset reports whether the other side has reset the connection, with which the bytes are lost that were held.
func wasReset(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	failure := 0
	err = raw.Control(func(fd uintptr) {
		failure, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return err != nil || failure == int(syscall.ECONNRESET)
}

func (l *Link) remove(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, p)
}

// copy forwards bytes in one direction. While the link is silent it holds both the bytes and the end of the connection, and loses them if their sender resets it.
func (l *Link) copy(p *pair, to, from net.Conn, way direction, ended chan<- struct{}) {
	buffer := make([]byte, bufferBytes)
	for {
		n, readErr := from.Read(buffer)
		if !l.wait(p, way, from) {
			break
		}
		_, writeErr := to.Write(buffer[:n])
		if readErr != nil || writeErr != nil {
			break
		}
	}
	ended <- struct{}{}
}

// wait blocks until the link forwards bytes of this pair in the given direction. It returns false if the link is closed or the pair is reset first, or if the bytes were held and their sender has reset its connection.
func (l *Link) wait(p *pair, way direction, from net.Conn) bool {
	held := false
	for {
		if l.modesDiffer.Load() {
			p.source()
		}
		l.mu.Lock()
		mode, changed := l.mode(p), l.changed
		l.mu.Unlock()
		select {
		case <-p.forgotten:
			<-l.done
			return false
		case <-p.reset:
			return false
		default:
		}
		switch {
		case mode == Pass || mode == SilentTowards && way == back:
			return !held || !wasReset(from)
		case mode == Slow:
			return l.delay(p) && (!held || !wasReset(from))
		}
		held = true
		select {
		case <-changed:
		case <-p.forgotten:
		case <-p.reset:
		case <-l.done:
			return false
		}
	}
}

// delay waits for SlowTime and returns false if the pair ends earlier.
func (l *Link) delay(p *pair) bool {
	select {
	case <-time.After(SlowTime):
		return true
	case <-p.reset:
	case <-l.done:
	}
	return false
}
