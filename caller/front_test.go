package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"daisyswitch/caller"
	"daisyswitch/upstream"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// entry is a front on loopback with its registry.
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
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

// announce tells the entry of an upstream at the address.
func (e *entry) announce(id string, address net.Addr) {
	e.announceNth(id, address, 1, false)
}

func (e *entry) announceNth(id string, address net.Addr, sequence uint64, leaving bool) {
	e.registry.Announce(time.Now(), &upstream.Announcement{ID: id, Address: address.String(), Domain: "a", Classes: []string{"bids"},
		Slots: 8, Connections: 64, Sequence: sequence, Leaving: leaving})
}

// serving returns an entry with one upstream.
func serving(t testing.TB, o caller.Options, address net.Addr) *entry {
	e := newEntry(t, o, upstream.Options{})
	e.announce("u", address)
	return e
}

// dial opens a caller's connection.
func (e *entry) dial(t testing.TB) (net.Conn, *bufio.Reader) {
	raw, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { raw.Close() })
	return raw, bufio.NewReader(raw)
}

// fetch sends one request with the given headers, names and values in turn.
func (e *entry) fetch(t testing.TB, method, path, body string, header ...string) (*http.Response, string, error) {
	r, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	assert.NilError(t, err)
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

// do is fetch for requests that must be answered.
func (e *entry) do(t testing.TB, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	resp, answer, err := e.fetch(t, method, path, body, header...)
	assert.NilError(t, err)
	return resp, answer
}

// occupy holds slots of the upstreams other than the one named, so that it is picked first.
func (e *entry) occupy(but string) {
	for range 6 {
		e.registry.Take("bids", []string{but})
	}
}

// reach waits for something that must come to pass.
func reach(t *testing.T, what func() bool) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if what() || t.Failed() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
}
