package fakelink

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Mode says what becomes of bytes.
type Mode string

// The modes of a link.
const (
	Pass   Mode = "pass"   // bytes are forwarded
	Silent Mode = "silent" // no byte passes and nobody is told, until the mode changes; what was held then goes on
	Forget Mode = "forget" // connections open now stay silent for good, new ones pass
)

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// Forward is one address that the link stands in for.
type Forward struct {
	Listen string // IP:port; port 0 takes a free one
	To     string // IP:port
}

// Link forwards connections to fixed addresses.
type Link struct {
	listeners []net.Listener
	running   conc.WaitGroup
	done      chan struct{} // closed by Close

	mu      sync.Mutex // guards what follows
	silent  bool
	changed chan struct{} // closed when silent changes
	open    map[*pair]struct{}
}

// pair is a connection and the one that it is forwarded to.
type pair struct {
	forgotten chan struct{} // closed when the link forgets the pair
}

// New listens on every address; its error says which can't be listened on.
func New(forwards []Forward) (*Link, error) {
	l := &Link{done: make(chan struct{}), changed: make(chan struct{}), open: map[*pair]struct{}{}}
	for _, f := range forwards {
		listener, err := net.Listen("tcp", f.Listen)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("fakelink: %w", err), l.Close())
		}
		l.listeners = append(l.listeners, listener)
		l.running.Go(func() { l.accept(listener, f.To) })
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

// Set changes the mode.
func (l *Link) Set(m Mode) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch m {
	case Pass, Silent:
		l.silent = m == Silent
		close(l.changed)
		l.changed = make(chan struct{})
	case Forget:
		for p := range l.open {
			close(p.forgotten)
			delete(l.open, p)
		}
	default:
		return fmt.Errorf("fakelink: mode %q is not one of %s, %s and %s", m, Pass, Silent, Forget)
	}
	return nil
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

func (l *Link) accept(listener net.Listener, to string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		l.running.Go(func() { l.forward(near, to) })
	}
}

// forward joins near to a new connection; both are closed together, at the latest when the link is.
func (l *Link) forward(near net.Conn, to string) {
	defer near.Close()
	p := &pair{forgotten: make(chan struct{})}
	l.mu.Lock()
	l.open[p] = struct{}{}
	l.mu.Unlock()
	defer l.remove(p)
	if !l.wait(p) {
		return
	}
	far, err := net.DialTimeout("tcp", to, dialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	var both conc.WaitGroup
	ended := make(chan struct{}, 2)
	both.Go(func() { l.copy(p, far, near, ended) })
	both.Go(func() { l.copy(p, near, far, ended) })
	select {
	case <-ended:
	case <-l.done:
	}
	near.Close()
	far.Close()
	both.Wait()
}

func (l *Link) remove(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, p)
}

// copy moves bytes one way; while the link is silent it holds them, and the end of the connection too.
func (l *Link) copy(p *pair, to, from net.Conn, ended chan<- struct{}) {
	buffer := make([]byte, bufferBytes)
	for {
		n, readErr := from.Read(buffer)
		if !l.wait(p) {
			break
		}
		_, writeErr := to.Write(buffer[:n])
		if readErr != nil || writeErr != nil {
			break
		}
	}
	ended <- struct{}{}
}

// wait returns true once the link passes bytes of this pair, and false when it closes first.
func (l *Link) wait(p *pair) bool {
	for {
		l.mu.Lock()
		silent, changed := l.silent, l.changed
		l.mu.Unlock()
		select {
		case <-p.forgotten:
			<-l.done
			return false
		default:
		}
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-p.forgotten:
		case <-l.done:
			return false
		}
	}
}
