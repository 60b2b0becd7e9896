package fakeupstream

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener is a listener that immediately closes connections beyond its limit.
type limitedListener struct {
	net.Listener
	most    int64
	open    atomic.Int64
	refused atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		conn.Close()
	}
}

// countedConn is a connection that counts against the limit until it is closed.
type countedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close closes the connection and releases its share of the limit.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
