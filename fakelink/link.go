package fakelink

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Mode says what becomes of bytes.
type Mode string

// The modes of a link.
const (
	Pass   Mode = "pass"   // bytes are forwarded
	Silent Mode = "silent" // no byte passes and nobody is told, until the mode changes; what was held then goes on
	OneWay Mode = "oneway" // like silent, but only for bytes towards the forwarded address
	Slow   Mode = "slow"   // bytes are forwarded after SlowTime
	Forget Mode = "forget" // connections open now stay silent for good, new ones pass
	Reset  Mode = "reset"  // connections open now are reset, new ones pass
)

// SlowTime is the delay of a slow link, one way; a hundred times that between failure domains.
const SlowTime = 50 * time.Millisecond

// Everyone names all sources that no mode is set for.
const Everyone = ""

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// Forward is one address that the link stands in for.
type Forward struct {
	Listen string                                       // IP:port; port 0 takes a free one
	To     string                                       // IP:port
	From   func(from net.Addr, opened time.Time) string // names the source of a connection, asked once modes differ by source; nil if they need not be told apart
}

// Link forwards connections to fixed addresses.
type Link struct {
	listeners []net.Listener
	running   conc.WaitGroup
	done      chan struct{} // closed by Close

	differs atomic.Bool // whether modes differ by source

	mu      sync.Mutex      // guards what follows
	modes   map[string]Mode // by source
	changed chan struct{}   // closed when a mode changes
	open    map[*pair]struct{}
}

// pair is a connection and the one that it is forwarded to.
type pair struct {
	source    func() string // names who opened it
	forgotten chan struct{} // closed when the link forgets the pair
	reset     chan struct{} // closed when the link resets the pair
}

// direction is the way that bytes go.
type direction int

const (
	towards direction = iota // the forwarded address
	back
)

// New listens on every address; its error says which can't be listened on.
func New(forwards []Forward) (*Link, error) {
	l := &Link{done: make(chan struct{}), modes: map[string]Mode{Everyone: Pass}, changed: make(chan struct{}), open: map[*pair]struct{}{}}
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

// Addresses returns what the link listens on, in the order of its forwards.
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
		l.modes = map[string]Mode{Everyone: m}
		l.differs.Store(false)
	})
}

// SetFrom changes the mode for one source; the mode of all others ends what was set for it.
func (l *Link) SetFrom(source string, m Mode) error {
	l.differs.Store(true)
	l.nameSources()
	return l.set(m, func(p *pair) bool { return p.source() == source }, func() {
		l.modes[source] = m
		if m == l.modes[Everyone] {
			delete(l.modes, source)
		}
		l.differs.Store(len(l.modes) > 1)
	})
}

func (l *Link) set(m Mode, concerns func(*pair) bool, keep func()) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch m {
	case Pass, Silent, OneWay, Slow:
		keep()
		close(l.changed)
		l.changed = make(chan struct{})
	case Forget:
		l.each(concerns, func(p *pair) { close(p.forgotten) })
	case Reset:
		l.each(concerns, func(p *pair) { close(p.reset) })
	default:
		return fmt.Errorf("fakelink: mode %q is not one of %s, %s, %s, %s, %s and %s", m, Pass, Silent, OneWay, Slow, Forget, Reset)
	}
	return nil
}

// nameSources has the sources of open pairs named, which may take a while and so needs the mutex free.
func (l *Link) nameSources() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, p := range open {
		p.source()
	}
}

// each ends the link's care for the open pairs of some sources; the mutex is held.
func (l *Link) each(concerns func(*pair) bool, end func(*pair)) {
	for p := range l.open {
		if concerns(p) {
			end(p)
			delete(l.open, p)
		}
	}
}

// mode returns the mode in force for a pair; the mutex is held.
func (l *Link) mode(p *pair) Mode {
	if len(l.modes) > 1 {
		if m, set := l.modes[p.source()]; set {
			return m
		}
	}
	return l.modes[Everyone]
}

// Close ends all connections and waits.
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

// forward joins near to a new connection; both are closed together, at the latest when the link is.
func (l *Link) forward(near net.Conn, f Forward) {
	defer near.Close()
	p := &pair{forgotten: make(chan struct{}), reset: make(chan struct{}), source: func() string { return Everyone }}
	if f.From != nil {
		opened := time.Now()
		p.source = sync.OnceValue(func() string { return f.From(near.RemoteAddr(), opened) })
	}
	l.mu.Lock()
	l.open[p] = struct{}{}
	l.mu.Unlock()
	defer l.remove(p)
	if !l.wait(p, towards) {
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

// abort has a connection reset when it is closed.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // a connection that is closed already needs no reset
	}
}

func (l *Link) remove(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, p)
}

// copy moves bytes one way; while the link is silent it holds them, and the end of the connection too.
func (l *Link) copy(p *pair, to, from net.Conn, way direction, ended chan<- struct{}) {
	buffer := make([]byte, bufferBytes)
	for {
		n, readErr := from.Read(buffer)
		if !l.wait(p, way) {
			break
		}
		_, writeErr := to.Write(buffer[:n])
		if readErr != nil || writeErr != nil {
			break
		}
	}
	ended <- struct{}{}
}

// wait returns true once the link passes bytes of this pair that way, and false when it closes or resets them first.
func (l *Link) wait(p *pair, way direction) bool {
	for {
		if l.differs.Load() {
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
		case mode == Pass || mode == OneWay && way == back:
			return true
		case mode == Slow:
			return l.delay(p)
		}
		select {
		case <-changed:
		case <-p.forgotten:
		case <-p.reset:
		case <-l.done:
			return false
		}
	}
}

// delay waits as long as a slow link takes, and returns false if the pair ends before.
func (l *Link) delay(p *pair) bool {
	select {
	case <-time.After(SlowTime):
		return true
	case <-p.reset:
	case <-l.done:
	}
	return false
}
