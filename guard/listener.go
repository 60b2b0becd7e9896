package guard

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"

	"daisyswitch/refusal"
)

// Listener watches the bytes of its connections for what net/http hides: framing given twice, slow headers, and refusals of its own.
type Listener struct {
	net.Listener
}

// Accept waits for a caller.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw}, nil
}

type connKey struct{}

// WithConn is the server's ConnContext, through which Of finds the connection.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Of returns the request's connection, nil if another listener accepted it.
func Of(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Conn is a caller's connection.
type Conn struct {
	net.Conn

	mu     sync.Mutex
	head   headScan
	served bool // a handler has begun to serve the last head
}

// Read scans heads as they pass, and answers a caller that is too slow with its head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.head.seen {
		c.served = false
	}
	c.head.feed(p[:n])
	if errors.Is(err, os.ErrDeadlineExceeded) && c.head.begun() {
		c.Conn.Write(refusal.NotRun(http.StatusRequestTimeout, refusal.SlowCaller, "headers are sent too slowly").Raw()) //nolint:errcheck // the connection ends here
	}
	return n, err
}

// serverRefusal is how net/http begins a refusal of its own; an answer of a handler never looks so.
const serverRefusal = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// Write replaces net/http's own refusals by ones with a verdict.
func (c *Conn) Write(p []byte) (int, error) {
	head, reason, found := bytes.Cut(p, []byte(serverRefusal))
	if !found && !c.handled() {
		head, _, found = bytes.Cut(p, []byte("\r\n")) // an answer of the server's own with other headers
		reason = head[min(len(head), len("HTTP/1.1 417 ")):]
	}
	status, ok := refusedStatus(head)
	if !found || !ok {
		return c.Conn.Write(p)
	}
	f := refusal.NotRun(status, refusal.BadRequest, string(reason))
	if status == http.StatusRequestHeaderFieldsTooLarge {
		f = refusal.NotRun(status, refusal.HeaderTooLarge, "headers are too large")
	}
	if _, err := c.Conn.Write(f.Raw()); err != nil {
		return 0, err
	}
	return len(p), nil
}

// refusedStatus reads the status from a status line that stands alone.
func refusedStatus(head []byte) (status int, ok bool) {
	line, found := bytes.CutPrefix(head, []byte("HTTP/1.1 "))
	if !found || len(line) < 3 || bytes.IndexByte(line, '\n') >= 0 {
		return 0, false
	}
	status, err := strconv.Atoi(string(line[:3]))
	return status, err == nil
}

// Begin says that a handler serves the request, so that what is written now is an answer of its.
func (c *Conn) Begin() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = true
}

func (c *Conn) handled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// CheckHead refuses a request whose framing was given twice. The request is rebuilt for the upstream in any case.
func (c *Conn) CheckHead(r *http.Request) error {
	if c == nil || len(r.TransferEncoding) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.lengths > 0 {
		return errors.New("both Content-Length and Transfer-Encoding are given")
	}
	return nil
}

// Next expects the head of the next request.
func (c *Conn) Next() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScan{}
}

const lengthName = "content-length"

// headScan counts the lines of a request's head that tell its length.
type headScan struct {
	line    [len(lengthName) + 1]byte
	n       int // bytes of the present line
	seen    bool
	done    bool
	lengths int
}

// begun reports whether a part of a head has come, but not all.
func (h *headScan) begun() bool {
	return h.seen && !h.done
}

func (h *headScan) feed(p []byte) {
	for _, b := range p {
		if h.done {
			return
		}
		h.seen = true
		h.byte(b)
	}
}

func (h *headScan) byte(b byte) {
	if b == '\n' {
		h.endLine()
		return
	}
	if b == '\r' {
		return
	}
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	if h.n < len(h.line) {
		h.line[h.n] = b
	}
	h.n++
}

func (h *headScan) endLine() {
	if h.n == 0 {
		h.done = true
	}
	if h.n > len(lengthName) && string(h.line[:]) == lengthName+":" {
		h.lengths++
	}
	h.n = 0
}
