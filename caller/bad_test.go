package caller_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"daisyswitch/caller"
	"daisyswitch/refusal"
	"daisyswitch/upstream"

	"gotest.tools/v3/assert"
)

// TestBadInputIsRefusedWithVerdict sends what must not be forwarded, byte for byte.
func TestBadInputIsRefusedWithVerdict(t *testing.T) {
	f := newFake(t, healthy)
	e := serving(t, caller.Options{HeaderBytes: 8 << 10, BodyBytes: 100 << 10, HeaderTimeout: 300 * time.Millisecond, RequestTimeout: time.Hour}, f.Addr())
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
	w := ask(f, "GET", "bids", "1000")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(w.Body.String(), `"verdict":"not-run"`))
	assert.Assert(t, strings.Contains(w.Body.String(), `"code":"no_configuration"`))
}

// FuzzCaller expects of any bytes that what reaches an upstream is one well-formed request with the class in force.
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
	f.Fuzz(func(t *testing.T, method, target, headers, body string) {
		e.announce("u", up.Listener.Addr())
		raw, reader := e.dial(t)
		fmt.Fprintf(raw, "%s %s HTTP/1.1\r\nHost: x\r\nDaisyswitch-Class: bids\r\n%s\r\n%s", method, target, headers, body)
		resp, err := http.ReadResponse(reader, nil)
		assert.Assert(t, bad.Load() == nil, "%v", bad.Load())
		if err != nil {
			return // nothing that could be answered
		}
		if resp.StatusCode >= 400 {
			assert.Assert(t, resp.Header.Get(refusal.Header) != "", "%v", resp)
		}
	})
}
