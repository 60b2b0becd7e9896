package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// forwarder is a proxy in front of the address at which the other processes reach a member.
type forwarder struct {
	listener net.Listener
	to       string

	mu       sync.Mutex // guards the fields below
	channels map[*channel]struct{}
	closed   bool
}

// channel is an open channel through a forwarder.
type channel struct {
	outer, inner net.Conn
	silent       atomic.Bool // what the member sends is lost
}

func newForwarder(listen, to string) (*forwarder, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	f := &forwarder{listener: listener, to: to, channels: map[*channel]struct{}{}}
	go f.accept()
	return f, nil
}

func (f *forwarder) accept() {
	for {
		outer, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(outer)
	}
}

func (f *forwarder) serve(outer net.Conn) {
	inner, err := net.Dial("tcp", f.to)
	if err != nil {
		outer.Close()
		return
	}
	c := &channel{outer: outer, inner: inner}
	f.mu.Lock()
	f.channels[c] = struct{}{}
	if f.closed {
		c.close()
	}
	f.mu.Unlock()
	var answers sync.WaitGroup
	answers.Add(1)
	go func() {
		defer answers.Done()
		c.passAnswers()
		c.close()
	}()
	io.Copy(inner, outer) //nolint:errcheck // either end may close the channel
	c.close()
	answers.Wait()
	f.mu.Lock()
	delete(f.channels, c)
	f.mu.Unlock()
}

// passAnswers passes on what the member sends, unless the channel is silent.
func (c *channel) passAnswers() {
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.inner.Read(buffer)
		if n > 0 && !c.silent.Load() {
			if _, err := c.outer.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *channel) close() {
	c.outer.Close()
	c.inner.Close()
}

// silence loses what the member sends on the channels that are open now. New ones work.
func (f *forwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.channels {
		c.silent.Store(true)
	}
}

func (f *forwarder) close() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for c := range f.channels {
		c.close()
	}
}
