package caller_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/caller"
	"daisyswitch/fakepath"
	"daisyswitch/transport"
	"daisyswitch/upstream"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

// serviceTimes returns a function that gives each request's service time, with an extra duration for the class lots.
func serviceTimes(base, lotsExtra time.Duration) func(*http.Request) time.Duration {
	return func(r *http.Request) time.Duration {
		if r.Header.Get(caller.ClassHeader) == "lots" {
			return base + lotsExtra
		}
		return base
	}
}

// newInMemoryFront returns a Front whose upstreams are all reached over the fake path. It must be called in a synctest bubble.
func newInMemoryFront(t *testing.T, p *fakepath.Path, upstreams int, idleAge time.Duration, o caller.Options) (*caller.Front, *upstream.Registry) {
	o.Registry = upstream.New(upstream.Options{Name: "e", Domain: "a", Entries: 1, Transport: transport.Options{Dial: p.Dial, IdleConnTimeLimit: idleAge}})
	f := caller.New(o)
	f.SetConfiguration(&wire.Configuration{Version: 1, Classes: []*wire.Class{
		{Name: "bids", Kind: wire.ClassKind_CLASS_KIND_SERVICE}, {Name: "lots", Kind: wire.ClassKind_CLASS_KIND_BATCH}}})
	announceAll(o.Registry, upstreams, 1)
	t.Cleanup(func() {
		assert.NilError(t, f.Close())
		o.Registry.Close()
	})
	return f, o.Registry
}

func announceAll(r *upstream.Registry, upstreams int, sequence uint64) {
	for i := range upstreams {
		r.Announce(time.Now(), &upstream.Announcement{
			ID: fmt.Sprint("u", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Domain: "a", Classes: []string{"bids", "lots"},
			Slots: 8, Connections: 64, Sequence: sequence})
	}
}

func serveRequest(f *caller.Front, method, class, timeout string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, "/", nil)
	r.Header.Set(caller.ClassHeader, class)
	r.Header.Set(caller.TimeoutHeader, timeout)
	f.ServeHTTP(w, r)
	return w
}

// TestSilentConnections lets the path silently drop all open connections under load, as a NAT or firewall that loses its state.
// Requests sent before may be lost. Later non-idempotent requests must succeed, and after one second all must be as fast as before.
func TestSilentConnections(t *testing.T) {
	const service = 10 * time.Millisecond
	for _, c := range []struct {
		idle, step, idleAge time.Duration
		posts               bool
	}{
		{0, 5 * time.Millisecond, 0, true}, {500 * time.Millisecond, 150 * time.Millisecond, 0, true},
		{0, 5 * time.Millisecond, 0, false}, {500 * time.Millisecond, 150 * time.Millisecond, 0, false},
		{0, 20 * time.Millisecond, time.Minute, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := &fakepath.Path{Service: serviceTimes(service, 0)}
			f, registry := newInMemoryFront(t, p, 8, c.idleAge, caller.Options{})
			var asking sync.WaitGroup
			send := func(method string, after time.Duration) {
				asking.Go(func() {
					began := time.Now()
					w := serveRequest(f, method, "bids", "5000")
					took := time.Since(began)
					if method == "POST" && after > transport.Defaults.FreshIdleLimit {
						assert.Check(t, w.Code == http.StatusOK, "POST %v after the loss: status %d, body %s", after, w.Code, w.Body)
					}
					assert.Check(t, method == "POST" || after < 0 || w.Code == http.StatusOK && took <= time.Second, "%s %v after the loss took %v: status %d, want 200 within 1 s", method, after, took, w.Code)
					if after > time.Second {
						assert.Check(t, w.Code == http.StatusOK && took <= 2*service, "%s %v after the loss took %v: status %d, want 200 within twice the service time", method, after, took, w.Code)
					}
				})
			}
			load := func(d, step time.Duration, lost time.Time) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
					send("GET", time.Since(lost))
					if c.posts {
						send("POST", time.Since(lost))
					}
				}
			}
			burst := func(after time.Duration) {
				for range 64 {
					send("GET", after)
				}
				time.Sleep(100 * time.Millisecond)
			}
			burst(-1)
			load(time.Second, 5*time.Millisecond, time.Now().Add(time.Second))
			time.Sleep(c.idle)
			announceAll(registry, 8, 2)
			p.SilenceConnections()
			lost := time.Now()
			load(1050*time.Millisecond, c.step, lost)
			burst(time.Since(lost))
			asking.Wait()
		})
	}
}

// TestSlowIsNotSilent lets some responses take longer than the first-byte timeout while others show that the path works.
// They must not be sent again, and once the retry budget is spent, every response is waited for.
func TestSlowIsNotSilent(t *testing.T) {
	for _, c := range []struct {
		budget, resent int64 // percent
		slow           time.Duration
	}{{10, 0, 600 * time.Millisecond}, {1, 1, 2 * time.Second}, {100, 100, 2 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			p := &fakepath.Path{Service: serviceTimes(5*time.Millisecond, c.slow)}
			f, registry := newInMemoryFront(t, p, 1, 0, caller.Options{RetryPercent: c.budget})
			var asking sync.WaitGroup
			send := func(n int) {
				for i := range n {
					announceAll(registry, 1, uint64(time.Now().UnixMilli()))
					classes := []string{"bids", "lots"}
					if i%20 > 0 {
						classes = classes[:1]
					}
					for _, class := range classes {
						asking.Go(func() {
							code := serveRequest(f, "GET", class, "9000").Code
							assert.Check(t, code == http.StatusOK, "%d", code)
						})
					}
					time.Sleep(20 * time.Millisecond)
				}
			}
			send(100)
			asking.Wait()
			before := p.Requests()
			send(300)
			asking.Wait()
			allowed := before + 315 + (before+315)*c.resent/100 // no retries, or within the budget where responses are slower than the extended first-byte timeout
			assert.Assert(t, p.Requests() <= allowed, "%d requests in all, %d of them in the warm-up", p.Requests(), before)
		})
	}
}

// TestRetriesStayWithinBudget lets nine of ten upstreams fail every request, and then recover.
func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakepath.Path{Service: serviceTimes(5*time.Millisecond, 0)}
		outage := true
		p.ClosesInstead = func(address string) bool { return outage && address != "127.0.0.1:1" }
		f, registry := newInMemoryFront(t, p, 10, 0, caller.Options{})
		const requests = 3000
		answered := 0
		for i := range requests {
			if i%200 == 0 {
				announceAll(registry, 10, uint64(i))
			}
			if serveRequest(f, "GET", "bids", "1000").Code == http.StatusOK {
				answered++
			}
			time.Sleep(5 * time.Millisecond)
		}
		assert.Assert(t, p.Requests() <= requests*110/100, "%d attempts", p.Requests())
		assert.Assert(t, p.Requests() > requests*105/100, "%d attempts", p.Requests())
		outage = false
		time.Sleep(time.Second)
		announceAll(registry, 10, requests)
		for range 100 {
			assert.Equal(t, serveRequest(f, "GET", "bids", "1000").Code, http.StatusOK)
		}
	})
}

// instantConn is a connection to an upstream that responds to each write at once and allocates nothing.
type instantConn struct {
	net.Conn
	unread int
}

func (c *instantConn) Write(p []byte) (int, error) {
	c.unread = len(fakepath.Answer)
	return len(p), nil
}

func (c *instantConn) Read(p []byte) (int, error) {
	if c.unread == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, fakepath.Answer[len(fakepath.Answer)-c.unread:])
	c.unread -= n
	return n, nil
}

func (c *instantConn) Close() error                    { return nil }
func (c *instantConn) SetDeadline(time.Time) error     { return nil }
func (c *instantConn) SetReadDeadline(time.Time) error { return nil }

type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

// TestAllocationsPerRequest bounds the heap allocations of a request, without net/http's server.
func TestAllocationsPerRequest(t *testing.T) {
	const allowed = 64
	registry := upstream.New(upstream.Options{Name: "e", Domain: "a", Entries: 1, Transport: transport.Options{
		Dial: func(context.Context, string) (net.Conn, error) { return &instantConn{}, nil }}})
	f := caller.New(caller.Options{Registry: registry})
	f.SetConfiguration(&wire.Configuration{Classes: []*wire.Class{{Name: "bids"}}})
	for _, method := range []string{"GET", "POST"} {
		r := httptest.NewRequest(method, "/", nil)
		r.Header.Set(caller.ClassHeader, "bids")
		w := discardWriter{http.Header{}}
		announceAll(registry, 1, 1)
		allocations := testing.AllocsPerRun(500, func() {
			clear(w.header)
			f.ServeHTTP(w, r)
		})
		assert.Equal(t, w.header.Get("Content-Length"), "4")
		assert.Assert(t, allocations <= allowed, "%s: %v allocations", method, allocations)
		t.Logf("%s: %v allocations", method, allocations)
	}
}
