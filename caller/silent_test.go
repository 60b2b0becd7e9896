package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/caller"
	"daisyswitch/transport"
	"daisyswitch/upstream"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

// path is the way to upstreams over in-memory connections, which can lose track of those open.
type path struct {
	mu      sync.Mutex
	conns   []*silentConn
	service time.Duration
}

type silentConn struct {
	net.Conn
	silent atomic.Bool
}

// Write swallows what is sent once the connection is silent.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (p *path) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	up := &silentConn{Conn: far}
	down := &silentConn{Conn: near}
	p.mu.Lock()
	p.conns = append(p.conns, up, down)
	p.mu.Unlock()
	go p.serve(up)
	return down, nil
}

func (p *path) serve(c *silentConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		time.Sleep(p.service)
		io.WriteString(c, okAnswer)
	}
}

// lose makes every open connection silent for good.
func (p *path) lose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silent.Store(true)
	}
}

// inMemory returns a front whose upstreams are all at the end of the path; it must be called in a synctest bubble.
func inMemory(p *path, upstreams int, o caller.Options) (*caller.Front, *upstream.Registry) {
	o.Registry = upstream.New(upstream.Options{Name: "e", Domain: "a", Entries: 1, Transport: transport.Options{Dial: p.dial}})
	f := caller.New(o)
	f.SetConfiguration(&wire.Configuration{Version: 1, Classes: []*wire.Class{
		{Name: "bids", Kind: wire.ClassKind_CLASS_KIND_SERVICE}, {Name: "lots", Kind: wire.ClassKind_CLASS_KIND_BATCH}}})
	announceAll(o.Registry, upstreams, 1)
	return f, o.Registry
}

func announceAll(r *upstream.Registry, upstreams int, sequence uint64) {
	for i := range upstreams {
		r.Announce(time.Now(), &upstream.Announcement{
			ID: fmt.Sprint("u", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Domain: "a", Classes: []string{"bids", "lots"},
			Slots: 8, Connections: 64, Sequence: sequence})
	}
}

func ask(f *caller.Front, method, class, timeout string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, "/", nil)
	r.Header.Set(caller.ClassHeader, class)
	r.Header.Set(caller.TimeoutHeader, timeout)
	f.ServeHTTP(w, r)
	return w
}

// TestSilentConnections loses track of all open connections under load. Requests that were sent before may be lost;
// of the later ones no non-idempotent request is, and a second later all are as fast as before.
func TestSilentConnections(t *testing.T) {
	for _, c := range []struct {
		idle  time.Duration
		posts bool
	}{{0, true}, {500 * time.Millisecond, true}, {0, false}, {500 * time.Millisecond, false}} {
		synctest.Test(t, func(t *testing.T) {
			p := &path{service: 10 * time.Millisecond}
			f, registry := inMemory(p, 4, caller.Options{})
			var asking sync.WaitGroup
			send := func(method string, after time.Duration) {
				asking.Go(func() {
					began := time.Now()
					w := ask(f, method, "bids", "5000")
					took := time.Since(began)
					if method == "POST" && after > transport.Defaults.QuietBound {
						assert.Check(t, w.Code == http.StatusOK, "%v after: %d %s", after, w.Code, w.Body)
					}
					assert.Check(t, method == "POST" || after < 0 || w.Code == http.StatusOK && took <= time.Second, "%s %v after took %v: %d", method, after, took, w.Code)
					if after > time.Second {
						assert.Check(t, w.Code == http.StatusOK && took <= 2*p.service, "%s %v after took %v: %d", method, after, took, w.Code)
					}
				})
			}
			load := func(d time.Duration, lost time.Time) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
					send("GET", time.Since(lost))
					if c.posts {
						send("POST", time.Since(lost))
					}
				}
			}
			burst := func(after time.Duration) {
				for range 24 {
					send("GET", after)
				}
				time.Sleep(100 * time.Millisecond)
			}
			burst(-1)
			load(time.Second, time.Now().Add(time.Second))
			time.Sleep(c.idle)
			announceAll(registry, 4, 2)
			p.lose()
			lost := time.Now()
			load(1500*time.Millisecond, lost)
			burst(time.Since(lost))
			asking.Wait()
			registry.Close()
			assert.NilError(t, f.Close())
		})
	}
}
