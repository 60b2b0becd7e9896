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

// Listener wraps accepted connections in Conn, which detects ambiguous framing and slow headers, and rewrites error responses of net/http itself.
type Listener struct {
	net.Listener
}

// Accept waits for a caller's connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw}, nil
}

type connKey struct{}

// WithConn stores the connection in the context of its requests; it is meant for http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the request's connection, or nil if it was not accepted by a Listener.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Conn is a caller's connection.
type Conn struct {
	net.Conn

	mu     sync.Mutex
	head   headScan
	served bool // a handler has started on the last request head
}

// Read scans request heads as they are read, and sends a refusal if a head is not complete by the read deadline.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.head.started {
		c.served = false
	}
	c.head.scan(p[:n])
	if errors.Is(err, os.ErrDeadlineExceeded) && c.head.partial() {
		c.Conn.Write(refusal.NotRun(http.StatusRequestTimeout, refusal.SlowCaller, "request headers did not arrive before the header timeout").Raw()) //nolint:errcheck // the server closes the connection next
	}
	return n, err
}

// serverErrorHeaders follows the status line in error responses of net/http itself; responses of handlers never contain it.
const serverErrorHeaders = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// Write replaces error responses of net/http itself by refusals with a verdict.
func (c *Conn) Write(p []byte) (int, error) {
	head, reason, found := bytes.Cut(p, []byte(serverErrorHeaders))
	if !found && !c.isServed() {
		head, _, found = bytes.Cut(p, []byte("\r\n")) // an error response of the server with other headers
		reason = head[min(len(head), len("HTTP/1.1 417 ")):]
	}
	status, ok := parseStatusLine(head)
	if !found || !ok {
		return c.Conn.Write(p)
	}
	f := refusal.NotRun(status, refusal.BadRequest, string(reason))
	if status == http.StatusRequestHeaderFieldsTooLarge {
		f = refusal.NotRun(status, refusal.HeaderTooLarge, "request headers exceed the size limit")
	}
	if _, err := c.Conn.Write(f.Raw()); err != nil {
		return 0, err
	}
	return len(p), nil
}

// parseStatusLine parses the status code if head is a single status line.
func parseStatusLine(head []byte) (status int, ok bool) {
	line, found := bytes.CutPrefix(head, []byte("HTTP/1.1 "))
	if !found || len(line) < 3 || bytes.IndexByte(line, '\n') >= 0 {
		return 0, false
	}
	status, err := strconv.Atoi(string(line[:3]))
	return status, err == nil
}

// Begin marks that a handler serves the request, so that the following writes are its response.
func (c *Conn) Begin() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = true
}

func (c *Conn) isServed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// CheckHead rejects a request with both Content-Length and Transfer-Encoding.
// This is an additional check: the request to the upstream is built anew in any case.
func (c *Conn) CheckHead(r *http.Request) error {
	if c == nil || len(r.TransferEncoding) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.contentLengths > 0 {
		return errors.New("headers Content-Length and Transfer-Encoding must not be combined")
	}
	return nil
}

// Next resets the scan for the head of the next request.
func (c *Conn) Next() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScan{}
}

const contentLengthName = "content-length"

// headScan counts the Content-Length lines in a request's head.
type headScan struct {
	line           [len(contentLengthName) + 1]byte
	n              int // bytes of the current line
	started        bool
	done           bool
	contentLengths int
}

// partial reports whether a part of a head has been received, but not all of it.
func (h *headScan) partial() bool {
	return h.started && !h.done
}

func (h *headScan) scan(p []byte) {
	for _, b := range p {
		if h.done {
			return
		}
		h.started = true
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
	if h.n > len(contentLengthName) && string(h.line[:]) == contentLengthName+":" {
		h.contentLengths++
	}
	h.n = 0
}
