package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"

	"daisyswitch/caller"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	if role := os.Getenv(roleVariable); role != "" {
		serveRole(role)
		return
	}
	m.Run()
}

// fake is an upstream on raw connections that records what it ran.
type fake struct {
	net.Listener
	serve func(f *fake, c *exchangeConn) bool // handles one request and reports whether the connection goes on

	mu    sync.Mutex
	runs  map[string]int // by request id
	heads atomic.Int64   // requests whose first byte arrived
}

type exchangeConn struct {
	*net.TCPConn
	*bufio.Reader
	nth int // request on this connection, from 1
}

func newFake(t testing.TB, serve func(f *fake, c *exchangeConn) bool) *fake {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fake{Listener: l, serve: serve, runs: map[string]int{}}
	go f.accept()
	t.Cleanup(func() { l.Close() })
	return f
}

func (f *fake) accept() {
	for {
		raw, err := f.Accept()
		if err != nil {
			return
		}
		go f.handle(raw.(*net.TCPConn))
	}
}

func (f *fake) handle(raw *net.TCPConn) {
	defer raw.Close()
	c := &exchangeConn{TCPConn: raw, Reader: bufio.NewReader(raw)}
	for {
		if _, err := c.Peek(1); err != nil {
			return
		}
		c.nth++
		f.heads.Add(1)
		if !f.serve(f, c) {
			return
		}
	}
}

// run reads a whole request and has its effect.
func (f *fake) run(c *exchangeConn) *http.Request {
	r, err := http.ReadRequest(c.Reader)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[r.Header.Get(caller.RequestIDHeader)]++
	return r
}

func (f *fake) ran(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func (c *exchangeConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

func (c *exchangeConn) reset() bool {
	c.SetLinger(0)
	return false
}

func (c *exchangeConn) answer(raw string) bool {
	_, err := io.WriteString(c.TCPConn, raw)
	return err == nil
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

func healthy(f *fake, c *exchangeConn) bool {
	return f.run(c) != nil && c.answer(okAnswer)
}
