package fakeupstream

import (
	"net"
	"sync"
	"sync/atomic"
)

// limited is a listener that closes connections beyond its limit at once.
type limited struct {
	net.Listener
	most    int64
	open    atomic.Int64
	refused atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &counted{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		conn.Close()
	}
}

// counted is a connection that gives its place back when closed.
type counted struct {
	net.Conn
	listener *limited
	once     sync.Once
}

// Close closes the connection and frees its place.
func (c *counted) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
