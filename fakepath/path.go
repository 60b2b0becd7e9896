package fakepath

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is the response of every upstream, with the body "done".
const Answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

// Path connects to any number of simulated upstreams, distinguished by address. Its fields must be set before use.
type Path struct {
	Service       func(r *http.Request) time.Duration // returns the service time of a request
	ClosesInstead func(address string) bool           // reports whether an upstream closes the connection instead of responding; may be nil

	requests atomic.Int64
	mu       sync.Mutex
	conns    []*conn
}

// Dial opens a connection to the upstream at address.
func (p *Path) Dial(_ context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	here, there := &conn{Conn: near}, &conn{Conn: far}
	p.mu.Lock()
	p.conns = append(p.conns, here, there)
	p.mu.Unlock()
	go p.serve(there, address) // ends with the connection
	return here, nil
}

// Requests returns the number of requests received.
func (p *Path) Requests() int64 {
	return p.requests.Load()
}

// SilenceConnections makes every open connection silent permanently.
func (p *Path) SilenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silent.Store(true)
	}
}

func (p *Path) serve(c *conn, address string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		p.requests.Add(1)
		if p.ClosesInstead != nil && p.ClosesInstead(address) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(p.Service(r))
		if _, err := io.WriteString(c, Answer); err != nil {
			return
		}
	}
}

// conn is one end of an in-memory connection.
type conn struct {
	net.Conn
	silent atomic.Bool
}

// Write discards the data and reports success once the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
