package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pipeListener hands out pipes, whose deadlines follow the clock of a synctest bubble.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// server is an HTTP server behind an ingress, which counts the requests that reach its handler.
type server struct {
	process  *Process
	pipes    *pipeListener
	http     *http.Server
	requests int
	last     []byte
}

func newServer(l Limits, maxBody int64) *server {
	s := &server{process: New(l), pipes: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}}
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.requests++
		s.last, _ = io.ReadAll(r.Body)
	})
	s.http = &http.Server{Handler: s.process.Handler(handler, maxBody), ReadHeaderTimeout: HeadTimeout, IdleTimeout: IdleTimeout, MaxHeaderBytes: MaxHeadBytes, ConnContext: ConnContext}
	go s.http.Serve(s.process.Listen(s.pipes, AllConnections))
	return s
}

// exchange sends a request with write on a new connection and returns everything that the server answers until it closes the connection.
func (s *server) exchange(write func(net.Conn)) string {
	ours, theirs := net.Pipe()
	s.pipes.conns <- &addressed{theirs}
	done := make(chan struct{})
	go func() { write(ours); close(done) }()
	answer, _ := io.ReadAll(ours)
	ours.Close()
	<-done
	return string(answer)
}

func (s *server) close(t *testing.T) {
	s.end()
	assert.Equal(t, s.process.reading.used, int64(0), "bytes that are not released")
	assert.Equal(t, s.process.decoding.used, int64(0), "bytes that are not released")
}

// end closes the server, also after a test has failed.
func (s *server) end() {
	s.http.Close()
	synctest.Wait()
}

func post(framing string) string {
	return "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + framing + "\r\n\r\n"
}

// roomy are limits that no test of single requests reaches.
var roomy = LimitsFor(184, 4096)

// TestRefusedRequestsDoNotRun checks the status of each refusal, that its handler is not called and that no byte stays charged.
func TestRefusedRequestsDoNotRun(t *testing.T) {
	const most = 64 << 10
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, c := range map[string]struct {
		limits Limits
		sent   string
		status string
	}{
		"announced too large": {roomy, post("Content-Length: 70000") + smuggled, "413"},
		"expects to be asked": {roomy, post("Content-Length: 70000\r\nExpect: 100-continue") + smuggled, "413"},
		"chunks too large":    {roomy, post("Transfer-Encoding: chunked") + "11000\r\n" + strings.Repeat("x", 0x11000) + "\r\n0\r\n\r\n" + smuggled, "413"},
		"too much framing":    {roomy, post("Transfer-Encoding: chunked") + strings.Repeat("1;eeeeeeeeee\r\n \r\n", 20000), "413"},
		"malformed chunks":    {roomy, post("Transfer-Encoding: chunked") + "zz\r\n" + smuggled, "400"},
		"stops":               {roomy, post("Content-Length: 100") + "x", "408"},
		"stops in a chunk":    {roomy, post("Transfer-Encoding: chunked") + "ff\r\nx", "408"},
		"costly":              {Limits{Connections: 9, Reading: 1 << 20, Decoding: 1 << 20, OneDecoding: 1 << 20}, post("Content-Length: 6000") + strings.Repeat("{},", 2000) + smuggled, "413"},
		"no memory to read":   {Limits{Connections: 9, Reading: -1, Decoding: 1 << 20}, post("Content-Length: 60000") + strings.Repeat(" ", 60000) + smuggled, "503"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newServer(c.limits, most)
				defer s.end()
				if c.limits.Reading < 0 {
					s.process.reading.used = 1
					defer func() { s.process.reading.used-- }()
				}
				answer := s.exchange(func(c2 net.Conn) { io.WriteString(c2, c.sent) })
				assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 "+c.status), "%q", answer)
				assert.Equal(t, strings.Count(answer, "HTTP/1.1 "), 1, answer)
				assert.Equal(t, s.requests, 0)
				if c.limits.Reading < 0 {
					s.end()
					assert.Equal(t, s.process.reading.used, int64(1))
					return
				}
				s.close(t)
			})
		})
	}
}

// TestSlowLegalBodyIsServed guards against a time limit that a client on a link of 2 Mbit/s reaches.
func TestSlowLegalBodyIsServed(t *testing.T) {
	for name, framing := range map[string]string{"sized": "Content-Length: 4194304", "chunked": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newServer(LimitsFor(408, 4096), 4<<20)
				defer s.end()
				answer := s.exchange(func(c net.Conn) {
					io.WriteString(c, post(framing))
					for range 4 << 20 / 8192 {
						time.Sleep(33 * time.Millisecond) // 8 KiB at 2 Mbit/s
						part := strings.Repeat(" ", 8192)
						if name == "chunked" {
							part = "2000\r\n" + part + "\r\n"
						}
						io.WriteString(c, part)
					}
					if name == "chunked" {
						io.WriteString(c, "0\r\n\r\n")
					}
				})
				assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 200"), "%q", answer)
				assert.Equal(t, len(s.last), 4<<20)
				s.close(t)
			})
		})
	}
}

// TestSlowBodyIsRefusedInTime checks that a body of one byte a second is refused, and that an idle connection stays open.
func TestSlowBodyIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(roomy, 1<<20)
		defer s.end()
		start := time.Now()
		answer := s.exchange(func(c net.Conn) {
			for io.WriteString(c, post("Content-Length: 100000")); ; time.Sleep(time.Second) {
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
			}
		})
		assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 408"), "%q", answer)
		assert.Assert(t, strings.Contains(answer, "Retry-After: 1\r\n"))
		assert.Assert(t, time.Since(start) < 10*time.Second)
		s.close(t)
	})
}

// TestRequestsOnOneConnectionAreServed guards against a connection that is taken for idle or refused because requests arrive together or after a pause.
func TestRequestsOnOneConnectionAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(roomy, 1<<20)
		defer s.end()
		one := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
		answer := s.exchange(func(c net.Conn) {
			io.WriteString(c, one+one)
			time.Sleep(15 * time.Second)
			io.WriteString(c, one+post("Content-Length: 3")+"xyz")
		})
		assert.Equal(t, strings.Count(answer, "HTTP/1.1 200"), 4, answer)
		assert.Equal(t, string(s.last), "xyz")
		s.close(t)
	})
}

// TestSmallBodiesPassBesideLargeOnes checks that bodies within the free share need no budget.
func TestSmallBodiesPassBesideLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(roomy, 1<<20)
		defer s.end()
		s.process.reading.used, s.process.decoding.used = 1<<40, 1<<40
		answer := s.exchange(func(c net.Conn) { io.WriteString(c, post("Content-Length: 6000")+strings.Repeat(" ", 6000)) })
		assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 200"), "%q", answer)
		answer = s.exchange(func(c net.Conn) { io.WriteString(c, post("Content-Length: 60000")+strings.Repeat(" ", 60000)) })
		assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 503") && strings.Contains(answer, "Retry-After: 1\r\n"), "%q", answer)
		s.process.reading.used, s.process.decoding.used = 0, 0
		s.close(t)
	})
}

// FuzzReader checks that any bytes on a connection leave nothing charged, and that a body reaches the handler only whole and within its limit.
func FuzzReader(f *testing.F) {
	f.Add([]byte(post("Content-Length: 3") + "abc"))
	f.Add([]byte(post("Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte(post("Transfer-Encoding: chunked") + "ffff\r\nabc"))
	f.Add([]byte("\r\n\r\n" + post("Content-Length: 99999999999") + "abc"))
	f.Add([]byte(post("Content-Length: 9\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue") + "abc"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 3000)))
	const most = 1 << 10
	f.Fuzz(func(t *testing.T, sent []byte) {
		p := New(Limits{Connections: 4, Reading: 32 << 10, Decoding: 64 << 10, OneDecoding: 64 << 10})
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil || len(body) > most || (r.ContentLength >= 0 && int64(len(body)) != r.ContentLength) {
				t.Errorf("body of %d bytes, announced %d, error %v", len(body), r.ContentLength, err)
			}
		})
		pipes := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := &http.Server{Handler: p.Handler(handler, most), MaxHeaderBytes: MaxHeadBytes, ConnContext: ConnContext}
		listener := p.Listen(pipes, AllConnections)
		ended := make(chan struct{})
		s.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				close(ended)
			}
		}
		go s.Serve(listener)
		pipes.conns <- &scripted{Reader: bytes.NewReader(sent)}
		<-ended
		s.Close()
		if p.reading.used != 0 || p.decoding.used != 0 || len(listener.conns) != 0 {
			t.Errorf("charged: %d for reading, %d for decoding; %d connections", p.reading.used, p.decoding.used, len(listener.conns))
		}
	})
}

// scripted is a connection that receives fixed bytes and discards what is sent.
type scripted struct {
	*bytes.Reader
}

func (*scripted) Write(p []byte) (int, error)      { return len(p), nil }
func (*scripted) Close() error                     { return nil }
func (*scripted) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*scripted) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*scripted) SetDeadline(time.Time) error      { return nil }
func (*scripted) SetReadDeadline(time.Time) error  { return nil }
func (*scripted) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkSmallRequest measures an ordinary submission of 300 bytes on one connection over loopback, with and without the ingress.
func BenchmarkSmallRequest(b *testing.B) {
	p := New(roomy)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, whole := Bytes(r); !whole {
			io.ReadAll(r.Body)
		}
	})
	for name, wrapped := range map[string]bool{"bare": false, "ingress": true} {
		b.Run(name, func(b *testing.B) {
			s := httptest.NewUnstartedServer(handler)
			if wrapped {
				s.Config.Handler, s.Config.ConnContext = p.Handler(handler, 262144), ConnContext
				s.Listener = p.Listen(s.Listener, AllConnections)
			}
			s.Start()
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			assert.NilError(b, err)
			defer c.Close()
			request := []byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 300\r\n\r\n%s", strings.Repeat("x", 300)))
			answers := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				c.Write(request)
				for line := ""; line != "\r\n"; line, err = answers.ReadString('\n') {
					if err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// TestUnreadAnswerEnds guards against a client that requests long answers without reading them, and so keeps a connection that is never closed for another.
func TestUnreadAnswerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(roomy, 1<<20)
		defer s.end()
		failed := make(chan error, 1)
		s.http.Handler = s.process.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, 1<<20))
			failed <- err
		}), 1<<20)
		ours, theirs := net.Pipe()
		defer ours.Close()
		s.pipes.conns <- &addressed{theirs}
		io.WriteString(ours, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		select {
		case err := <-failed:
			assert.Assert(t, err != nil)
		case <-time.After(5 * time.Minute):
			t.Error("the handler still writes the answer")
		}
	})
}

// TestExpectationIsAnsweredByTheBudget guards against asking a client for a body for which there is no memory.
func TestExpectationIsAnsweredByTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(roomy, 1<<20)
		defer s.end()
		s.process.reading.used = 1 << 40
		refused := s.exchange(func(c net.Conn) { io.WriteString(c, post("Content-Length: 60000\r\nExpect: 100-continue")) })
		assert.Assert(t, strings.HasPrefix(refused, "HTTP/1.1 503"), "%q", refused)
		s.process.reading.used = 0
		served := s.exchange(func(c net.Conn) {
			io.WriteString(c, post("Content-Length: 60000\r\nExpect: 100-continue")+strings.Repeat(" ", 60000))
		})
		assert.Assert(t, strings.HasPrefix(served, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"), "%q", served)
		s.close(t)
	})
}
