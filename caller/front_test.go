package caller_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"daisyswitch/caller"
	"daisyswitch/fakepath"
	"daisyswitch/refusal"
	"daisyswitch/upstream"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"k8s.io/klog/v2"
)

// entry is a Front on the loopback interface with its registry.
type entry struct {
	*caller.Front
	registry *upstream.Registry
	url      string
}

func newEntry(t testing.TB, o caller.Options, uo upstream.Options) *entry {
	t.Helper()
	if uo.Domain == "" {
		uo = upstream.Options{Name: "e1", Domain: "a", Entries: 1, Transport: uo.Transport}
	}
	o.Registry = upstream.New(uo)
	e := &entry{Front: caller.New(o), registry: o.Registry}
	e.SetConfiguration(&wire.Configuration{Version: 1, Classes: []*wire.Class{{Name: "bids", Kind: wire.ClassKind_CLASS_KIND_SERVICE, TargetP99Us: 50_000}}})
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	e.url = "http://" + l.Addr().String()
	done := make(chan error, 1)
	go func() { done <- e.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, e.Close())
		assert.NilError(t, <-done)
		o.Registry.Close()
	})
	return e
}

// must returns v and panics on an error of the test's own setup.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// announce registers an upstream at the address.
func (e *entry) announce(id string, address net.Addr) {
	e.announceNth(id, address, 1, false)
}

func (e *entry) announceNth(id string, address net.Addr, sequence uint64, leaving bool) {
	e.registry.Announce(time.Now(), &upstream.Announcement{ID: id, Address: address.String(), Domain: "a", Classes: []string{"bids"},
		Slots: 8, Connections: 64, Sequence: sequence, Leaving: leaving})
}

// newServingEntry returns an entry with one upstream.
func newServingEntry(t testing.TB, o caller.Options, address net.Addr) *entry {
	e := newEntry(t, o, upstream.Options{})
	e.announce("u", address)
	return e
}

// dial opens a connection to the entry as a caller.
func (e *entry) dial(t testing.TB) (net.Conn, *bufio.Reader) {
	raw := must(net.Dial("tcp", strings.TrimPrefix(e.url, "http://")))
	t.Cleanup(func() { raw.Close() })
	return raw, bufio.NewReader(raw)
}

// fetch sends one request with the given headers, which alternate between name and value.
func (e *entry) fetch(t testing.TB, method, path, body string, header ...string) (*http.Response, string, error) {
	r := must(http.NewRequest(method, e.url+path, strings.NewReader(body)))
	r.Header.Set(caller.ClassHeader, "bids")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp, string(answer), err
}

// do is like fetch, but fails the test if there is no response.
func (e *entry) do(t testing.TB, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	resp, answer, err := e.fetch(t, method, path, body, header...)
	assert.NilError(t, err)
	return resp, answer
}

// occupyOthers takes slots of all upstreams but the named one, so that it is picked first.
func (e *entry) occupyOthers(except string) {
	for range 6 {
		e.registry.Take("bids", []string{except})
	}
}

// waitUntil polls until the condition holds.
func waitUntil(t *testing.T, condition func() bool) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() || t.Failed() {
			return poll.Success()
		}
		return poll.Continue("condition does not hold yet")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
}

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	if role := os.Getenv(roleVariable); role != "" {
		serveRole(role)
		return
	}
	m.Run()
}

// fake is an upstream on raw connections that records the requests it ran.
type fake struct {
	net.Listener
	serve func(f *fake, c *upstreamConn) bool // handles one request and reports whether to keep the connection

	mu       sync.Mutex
	runs     map[string]int // by request id
	received atomic.Int64   // requests whose first byte arrived
}

type upstreamConn struct {
	*net.TCPConn
	*bufio.Reader
	requestNumber int // number of the current request on this connection, from 1
}

func newFake(t testing.TB, serve func(f *fake, c *upstreamConn) bool) *fake {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
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
	c := &upstreamConn{TCPConn: raw, Reader: bufio.NewReader(raw)}
	for {
		if _, err := c.Peek(1); err != nil {
			return
		}
		c.requestNumber++
		f.received.Add(1)
		if !f.serve(f, c) {
			return
		}
	}
}

// run reads a complete request and records that it ran.
func (f *fake) run(c *upstreamConn) *http.Request {
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

func (c *upstreamConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

func (c *upstreamConn) reset() bool {
	c.SetLinger(0)
	return false
}

func (c *upstreamConn) answer(raw string) bool {
	_, err := io.WriteString(c.TCPConn, raw)
	return err == nil
}

const okAnswer = fakepath.Answer

func healthy(f *fake, c *upstreamConn) bool {
	return f.run(c) != nil && c.answer(okAnswer)
}

// TestBadInputIsRefusedWithVerdict sends raw requests that must not be forwarded, and expects a refusal with a verdict.
func TestBadInputIsRefusedWithVerdict(t *testing.T) {
	f := newFake(t, healthy)
	e := newServingEntry(t, caller.Options{HeaderBytes: 8 << 10, BodyBytes: 100 << 10, HeaderTimeout: 300 * time.Millisecond, RequestTimeout: time.Hour}, f.Addr())
	const start = "POST / HTTP/1.1\r\nHost: x\r\nDaisyswitch-Class: bids\r\n"
	cases := []struct {
		name, raw string
		status    int
		code      refusal.Code
		verdict   string
	}{
		{"both lengths", start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 400, refusal.BadRequest, "not-run"},
		{"both lengths, length last", start + "Transfer-Encoding: chunked\r\ncontent-LENGTH : 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 400, refusal.BadRequest, "not-run"},
		{"two lengths", start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400, refusal.BadRequest, "not-run"},
		{"two hosts", start + "Host: y\r\nContent-Length: 0\r\n\r\n", 400, refusal.BadRequest, "not-run"},
		{"bare CR", start + "X: a\rb\r\nContent-Length: 0\r\n\r\n", 400, refusal.BadRequest, "not-run"},
		{"odd encoding", start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, refusal.BadRequest, "not-run"},
		{"space before colon", start + "Content-Length : 3\r\n\r\nabc", 400, refusal.BadRequest, "not-run"},
		{"other target", "POST http://y/ HTTP/1.1\r\nHost: x\r\nDaisyswitch-Class: bids\r\nContent-Length: 0\r\n\r\n", 200, "", ""},
		{"unknown expectation", start + "Expect: x\r\nContent-Length: 0\r\n\r\n", 417, refusal.BadRequest, "not-run"},
		{"upgrade", start + "Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 0\r\n\r\n", 400, refusal.BadRequest, "not-run"},
		{"connect", "CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\nDaisyswitch-Class: bids\r\n\r\n", 400, refusal.BadRequest, "not-run"},
		{"large headers", start + "X: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431, refusal.HeaderTooLarge, "not-run"},
		{"large body", start + "Content-Length: 200000\r\n\r\n", 413, refusal.BodyTooLarge, "not-run"},
		{"large chunked body", start + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + strings.Repeat("x", 200000), 413, refusal.BodyTooLarge, "unknown"},
		{"bad chunk", start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, refusal.BadRequest, "not-run"},
		{"no class", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 400, refusal.BadRequest, "not-run"},
		{"unknown class", "POST / HTTP/1.1\r\nHost: x\r\nDaisyswitch-Class: none\r\nContent-Length: 0\r\n\r\n", 404, refusal.UnknownClass, "not-run"},
		{"two classes", start + "Daisyswitch-Class: lots\r\nContent-Length: 0\r\n\r\n", 400, refusal.BadRequest, "not-run"},
		{"bad timeout", start + "Daisyswitch-Timeout-Ms: -1\r\nContent-Length: 0\r\n\r\n", 400, refusal.BadRequest, "not-run"},
		{"refused before its body", "POST / HTTP/1.1\r\nHost: x\r\nDaisyswitch-Class: none\r\nContent-Length: 10\r\n\r\nabc", 404, refusal.UnknownClass, "not-run"},
		{"both lengths, broken off", "0 * HTTP/1.1\r\nHost: x\r\nDaisyswitch-Class: bids\r\nContent-Length:0\r\nTrAnsfer-EnCoding:Chunked\r\n\r\n1\r\n", 400, refusal.BadRequest, "not-run"},
		{"slow headers", start, 408, refusal.SlowCaller, "not-run"},
		{"slow body", start + "Content-Length: 10\r\n\r\nabc", 408, refusal.SlowCaller, "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			raw, reader := e.dial(t)
			go io.WriteString(raw, c.raw)
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status, "%s", body)
			if c.code == "" {
				return
			}
			var got refusal.Refusal
			assert.NilError(t, json.Unmarshal(body, &got), "%s", body)
			assert.Equal(t, got.Code, c.code)
			assert.Equal(t, got.Verdict, c.verdict)
			assert.Equal(t, resp.Header.Get(refusal.Header), c.verdict)
		})
	}
}

func TestRefusesBeforeConfiguration(t *testing.T) {
	f := caller.New(caller.Options{Registry: upstream.New(upstream.Options{Name: "e", Domain: "a"})})
	w := serveRequest(f, "GET", "bids", "1000")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(w.Body.String(), `"verdict":"not-run"`))
	assert.Assert(t, strings.Contains(w.Body.String(), `"code":"no_configuration"`))
}

// FuzzCaller sends arbitrary bytes and expects upstreams to receive only well-formed requests with the configured class.
func FuzzCaller(f *testing.F) {
	var bad atomic.Value
	up := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if r.Header.Get(caller.ClassHeader) != "bids" || err != nil || len(r.Header["Content-Length"]) > 1 {
			bad.Store(fmt.Sprintf("%v %q %v", r.Header, body, err))
		}
	}))
	f.Cleanup(up.Close)
	e := newEntry(f, caller.Options{HeaderTimeout: 20 * time.Millisecond, HeaderBytes: 4 << 10}, upstream.Options{})
	f.Add("POST", "/a?b", "X: 1\r\nContent-Length: 1\r\n", "x")
	f.Add("GET", "//", "Connection: Daisyswitch-Class\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n", "1\r\nx\r\n0\r\nT: 1\r\n\r\n")
	f.Add("0", "*", "Content-Length:0\nTrAnsfer-EnCoding:Chunked\n", "1\r\n")
	f.Fuzz(func(t *testing.T, method, target, headers, body string) {
		e.announce("u", up.Listener.Addr())
		raw, reader := e.dial(t)
		fmt.Fprintf(raw, "%s %s HTTP/1.1\r\nHost: x\r\nDaisyswitch-Class: bids\r\n%s\r\n%s", method, target, headers, body)
		resp, err := http.ReadResponse(reader, nil)
		assert.Assert(t, bad.Load() == nil, "%v", bad.Load())
		if err != nil {
			return // the entry closed the connection without a response
		}
		if resp.StatusCode >= 400 {
			assert.Assert(t, resp.Header.Get(refusal.Header) != "", "%v", resp)
		}
	})
}

// TestPlannedStopCutsNoRequest stops one of two upstreams and one of two entries while callers keep sending on persistent connections.
// A caller moves to the other entry once its connection is closed after a complete response, as behind a load balancer.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		io.WriteString(w, "done")
	})
	leaving, staying := httptest.NewServer(handler), httptest.NewServer(handler)
	defer leaving.Close()
	defer staying.Close()
	first, second := newEntry(t, caller.Options{}, upstream.Options{}), newEntry(t, caller.Options{}, upstream.Options{})
	for _, e := range []*entry{first, second} {
		e.announce("leaving", leaving.Listener.Addr())
		e.announce("staying", staying.Listener.Addr())
	}
	var answered, moved atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			sendUntilStopped(t, first, stop, &answered)
			moved.Add(1)
			sendUntilStopped(t, second, stop, &answered)
		})
	}
	sequence := uint64(1)
	waitUntil := func(condition func() bool) {
		waitUntil(t, func() bool {
			sequence++
			first.announceNth("staying", staying.Listener.Addr(), sequence, false)
			second.announceNth("staying", staying.Listener.Addr(), sequence, false)
			return condition()
		})
	}
	waitUntil(func() bool { return answered.Load() > 100 })
	for _, e := range []*entry{first, second} {
		e.announceNth("leaving", leaving.Listener.Addr(), 2, true)
	}
	busy := func(l *wire.Load) bool { return l.GetId() == "leaving" && l.GetInFlight() > 0 }
	waitUntil(func() bool {
		return !slices.ContainsFunc(append(first.registry.Loads(), second.registry.Loads()...), busy)
	})
	leaving.Config.Shutdown(t.Context())
	before := answered.Load()
	waitUntil(func() bool { return answered.Load() > before+100 })
	first.Drain()
	waitUntil(func() bool { return moved.Load() == 16 })
	assert.NilError(t, first.Close())
	before = answered.Load()
	waitUntil(func() bool { return answered.Load() > before+100 })
	close(stop)
	callers.Wait()
}

// sendUntilStopped sends requests over one connection until stop or until a response closes it. Each request must succeed.
func sendUntilStopped(t *testing.T, e *entry, stop chan struct{}, answered *atomic.Int64) {
	raw, reader := e.dial(t)
	for last := false; !last; {
		fmt.Fprintf(raw, "POST / HTTP/1.1\r\nHost: x\r\n%s: bids\r\nContent-Length: 0\r\n\r\n", caller.ClassHeader)
		resp, err := http.ReadResponse(reader, nil)
		if !assert.Check(t, err) {
			return
		}
		body, err := io.ReadAll(resp.Body)
		if !assert.Check(t, err) || !assert.Check(t, string(body) == "done", "%s", body) {
			return
		}
		answered.Add(1)
		last = resp.Close
		select {
		case <-stop:
			return
		default:
		}
	}
}

// TestCloseWaits closes an entry in the middle of a response and expects the response to complete.
func TestCloseWaits(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "begin")
		http.NewResponseController(w).Flush()
		close(begun)
		<-finish
		io.WriteString(w, "end")
	}))
	defer up.Close()
	e := newServingEntry(t, caller.Options{}, up.Listener.Addr())
	answer := make(chan string)
	go func() {
		_, body, err := e.fetch(t, "GET", "/", "")
		answer <- fmt.Sprint(body, err)
	}()
	<-begun
	closed := make(chan error, 1)
	go func() { closed <- e.Close() }()
	for { // until the listener is closed
		raw, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		if err != nil {
			break
		}
		raw.Close()
	}
	close(finish)
	assert.Equal(t, <-answer, "beginend<nil>")
	assert.NilError(t, <-closed)
}
