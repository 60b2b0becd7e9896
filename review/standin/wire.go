package main

import (
	"errors"
	"net"
	"sync"
)

// wire is the network before an executor. While the executor's machine has no power, connections to it hang, as do those from before; once it is back, what is sent on those is reset.
type wire struct {
	listener net.Listener

	mu    sync.Mutex // guards the fields below
	life  *life      // nil without power
	dark  bool       // without power, and nobody is told
	cut   bool       // cut off from all callers, but at work
	conns map[*wireConn]bool
}

// life is the listener of one life of an executor.
type life struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
	address  net.Addr
}

var errLifeEnded = errors.New("the executor's life has ended")

func (l *life) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, errLifeEnded
	}
}

func (l *life) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *life) Addr() net.Addr { return l.address }

// wireConn joins a caller's connection with the life that accepted it.
type wireConn struct {
	caller net.Conn
	near   net.Conn // towards the executor, nil if it came while there was no power
	life   *life
	lost   bool // bytes were lost, so that it stays silent and is reset once the executor can be reached
}

func newWire(address string) (*wire, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &wire{listener: listener, conns: map[*wireConn]bool{}}
	go w.accept()
	return w, nil
}

func (w *wire) accept() {
	for {
		caller, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.join(caller)
	}
}

func (w *wire) join(caller net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil && !w.dark {
		reset(caller)
		return
	}
	c := &wireConn{caller: caller, life: w.life, lost: w.cut || w.life == nil}
	w.conns[c] = true
	if !c.lost {
		near, far := net.Pipe()
		c.near = near
		life := c.life
		go func() {
			select {
			case life.accepted <- far:
			case <-life.closed:
			}
		}()
		go w.copyAnswers(c)
	}
	go w.copyOrders(c)
}

// copyOrders passes on what the caller sends. Without power it is lost; once power is back, an old connection is reset.
func (w *wire) copyOrders(c *wireConn) {
	defer w.forget(c)
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.caller.Read(buffer)
		if err != nil {
			return
		}
		w.mu.Lock()
		silent, lost := w.life == nil || w.cut, c.lost || w.life != c.life
		w.mu.Unlock()
		switch {
		case silent:
		case lost:
			reset(c.caller)
			return
		default:
			if _, err := c.near.Write(buffer[:n]); err != nil {
				continue
			}
		}
	}
}

func (w *wire) copyAnswers(c *wireConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.near.Read(buffer)
		w.mu.Lock()
		lost := c.lost || w.life != c.life
		w.mu.Unlock()
		switch {
		case lost && err != nil:
			return
		case lost:
			continue
		case err == nil:
			_, err = c.caller.Write(buffer[:n])
		}
		if err != nil {
			c.caller.Close()
			return
		}
	}
}

// setCut cuts the executor off from its callers, or ends that. What was sent meanwhile is lost.
func (w *wire) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	for c := range w.conns {
		c.lost = c.lost || cut
	}
}

func (w *wire) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

func (w *wire) forget(c *wireConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
	c.caller.Close()
	if c.near != nil {
		c.near.Close()
	}
}

// powerOn begins a life and returns its listener.
func (w *wire) powerOn() net.Listener {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life = &life{accepted: make(chan net.Conn), closed: make(chan struct{}), address: w.listener.Addr()}
	w.dark = false
	return w.life
}

// powerOff ends the life. Unless it is dark, open connections are reset.
func (w *wire) powerOff(dark bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life, w.dark = nil, dark
	if dark {
		return
	}
	for c := range w.conns {
		reset(c.caller)
	}
}

// reset closes a connection so that its peer is told at once.
func reset(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is && tcp.SetLinger(0) == nil {
		c.Close()
	}
}
