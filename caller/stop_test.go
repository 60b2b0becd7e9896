package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"daisyswitch/caller"
	"daisyswitch/upstream"

	"gotest.tools/v3/assert"
)

// TestPlannedStopCutsNoRequest stops one of two entries, and one of two upstreams, while callers with lasting connections press on.
// A caller goes to the other entry once its connection was closed after a whole answer, as behind a balancer.
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
			press(t, first, stop, &answered)
			moved.Add(1)
			press(t, second, stop, &answered)
		})
	}
	sequence := uint64(1)
	reach := func(what func() bool) {
		reach(t, func() bool {
			sequence++
			first.announceNth("staying", staying.Listener.Addr(), sequence, false)
			second.announceNth("staying", staying.Listener.Addr(), sequence, false)
			return what()
		})
	}
	reach(func() bool { return answered.Load() > 100 })
	for _, e := range []*entry{first, second} {
		e.announceNth("leaving", leaving.Listener.Addr(), 2, true)
	}
	reach(func() bool { return inFlight(first, "leaving")+inFlight(second, "leaving") == 0 })
	leaving.Config.Shutdown(t.Context())
	before := answered.Load()
	reach(func() bool { return answered.Load() > before+100 })
	first.Drain()
	reach(func() bool { return moved.Load() == 16 })
	assert.NilError(t, first.Close())
	before = answered.Load()
	reach(func() bool { return answered.Load() > before+100 })
	close(stop)
	callers.Wait()
}

func inFlight(e *entry, id string) int32 {
	for _, load := range e.registry.Loads() {
		if load.GetId() == id {
			return load.GetInFlight()
		}
	}
	return 0
}

// press sends requests over one connection until stop or until the entry ends it with an answer; each must be answered.
func press(t *testing.T, e *entry, stop chan struct{}, answered *atomic.Int64) {
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

// TestCloseWaits closes an entry in the middle of an answer and expects the whole of it.
func TestCloseWaits(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "begin")
		http.NewResponseController(w).Flush()
		close(begun)
		<-proceed
		io.WriteString(w, "end")
	}))
	defer up.Close()
	e := serving(t, caller.Options{}, up.Listener.Addr())
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
	close(proceed)
	assert.Equal(t, <-answer, "beginend<nil>")
	assert.NilError(t, <-closed)
}
