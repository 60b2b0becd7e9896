package ingress

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The phases of a connection.
const (
	phaseReading  int32 = iota // a head or a body is being read, or nothing has arrived yet
	phaseIdle                  // between two requests
	phaseHandling              // a request has reached its handler
	phaseRefused               // a request was refused; the answer and the end of the connection are being sent
	phaseClosing               // being closed for a new connection
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	listener *Listener
	opened   time.Time
	phase    atomic.Int32
	lastRead atomic.Int64 // in nanoseconds, as time.Time.UnixNano
	received atomic.Int64 // bytes
	inBody   atomic.Bool
	timed    atomic.Bool // whether answers have a time limit

	mu        sync.Mutex // guards the following fields
	headBytes int64
	headLines int64
	charged   int64 // of the head
	closed    bool
}

type connKey struct{}

// ConnContext stores the connection in the context of its requests, for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// refusedRaw is the answer to a client whose request has not been read.
var refusedRaw = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

// Read counts what arrives, and charges large heads.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.lastRead.Store(time.Now().UnixNano())
	c.received.Add(int64(n))
	if c.phase.Load() == phaseHandling || c.inBody.Load() {
		return n, err
	}
	c.phase.CompareAndSwap(phaseIdle, phaseReading)
	if !c.chargeHead(p[:n]) {
		c.listener.process.count(causeHead, c.RemoteAddr().String())
		c.Write(refusedRaw)              //nolint:errcheck // the connection is closed next
		return 0, os.ErrDeadlineExceeded // net/http then closes the connection without an answer of its own
	}
	return n, err
}

// Write gives an answer that a Handler serves the time that it takes at the minimum rate, so that a client that does not read it keeps no connection for good.
// Short answers are written after the handler has returned, when the connection can be closed for another; they are spared the timer.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) >= shortAnswer && c.timed.Load() {
		c.SetWriteDeadline(time.Now().Add(bodyStartTime + time.Duration(len(p))*time.Second/minBodyRate)) //nolint:errcheck // a closed connection fails the write
	}
	return c.Conn.Write(p)
}

// chargeHead charges the reading budget for a head beyond its free share. Bytes after a blank line belong to a body. Both searches use the processor's vector instructions.
func (c *Conn) chargeHead(part []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end := bytes.Index(part, blankLine); end >= 0 {
		part = part[:end]
	}
	c.headBytes += int64(len(part))
	c.headLines += int64(bytes.Count(part, newline))
	more := c.headBytes*headByteCost + c.headLines*headLineCost - freeHeadBytes - c.charged
	if more <= 0 {
		return true
	}
	if c.closed || !c.listener.process.reading.take(more) {
		return false
	}
	c.charged += more
	return true
}

var (
	newline   = []byte{'\n'}
	blankLine = []byte("\r\n\r\n")
)

func (c *Conn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.charged > 0 {
		c.listener.process.reading.release(c.charged)
	}
	c.headBytes, c.headLines, c.charged = 0, 0, 0
}

// begin marks that the head is complete.
func (c *Conn) begin() {
	if c != nil {
		c.inBody.Store(true)
		c.phase.CompareAndSwap(phaseIdle, phaseReading) // a request that arrived together with the one before
	}
}

// handle marks that the request reaches its handler. It reports whether the connection is still open.
func (c *Conn) handle() bool {
	return c == nil || c.phase.CompareAndSwap(phaseReading, phaseHandling)
}

// refuse marks that the request is refused.
func (c *Conn) refuse() {
	if c != nil {
		c.phase.CompareAndSwap(phaseReading, phaseRefused)
	}
}

// end marks that the request is answered. What arrives after a refused request is no head, and is discarded by net/http.
func (c *Conn) end() {
	if c == nil {
		return
	}
	c.releaseHead()
	if c.phase.Load() != phaseHandling {
		return
	}
	c.inBody.Store(false)
	c.lastRead.Store(time.Now().UnixNano())
	c.phase.CompareAndSwap(phaseHandling, phaseIdle)
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.releaseHead()
	c.listener.remove(c)
	return c.Conn.Close()
}

// CloseWrite ends the sending side, so that a client reads an answer before the connection closes.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
