package caller_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"daisyswitch/caller"
	"daisyswitch/upstream"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
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
func (e *entry) announce(t testing.TB, id, address string) {
	t.Helper()
	e.announceNth(t, id, address, 1)
}

func (e *entry) announceNth(t testing.TB, id, address string, sequence uint64) {
	t.Helper()
	e.registry.Announce(time.Now(), &upstream.Announcement{ID: id, Address: address, Domain: "a", Classes: []string{"bids"}, Slots: 8, Connections: 64, Sequence: sequence})
}

func (e *entry) do(t testing.TB, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set(caller.ClassHeader, "bids")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(answer)
}

func TestForwards(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		io.WriteString(w, r.Method+" "+r.RequestURI+" "+r.Host+" "+r.Header.Get(caller.AttemptHeader)+" "+string(body))
	}))
	defer up.Close()
	e := newEntry(t, caller.Options{}, upstream.Options{})
	e.announce(t, "u1", up.Listener.Addr().String())
	resp, body := e.do(t, "POST", "/a%2Fb?c=d", "lot", "Host", "x")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, body, "POST /a%2Fb?c=d "+strings.TrimPrefix(e.url, "http://")+" 1 lot")
	resp, body = e.do(t, "GET", "/", "")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, body, "GET / "+strings.TrimPrefix(e.url, "http://")+" 1 ")
}

// occupy holds slots of the upstreams other than the one named, so that it is picked first.
func (e *entry) occupy(but string) {
	for range 6 {
		e.registry.Take("bids", []string{but})
	}
}
