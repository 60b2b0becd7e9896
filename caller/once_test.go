package caller_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"daisyswitch/caller"
	"daisyswitch/refusal"
	"daisyswitch/transport"
	"daisyswitch/upstream"
	"daisyswitch/verdict"

	"gotest.tools/v3/assert"
)

// late is the fault that needs a short deadline.
const (
	late    = "no answer in time"
	shortMS = "1000"
	longMS  = "60000"
)

func timeoutFor(fault string) string {
	if fault == late {
		return shortMS
	}
	return longMS
}

// faults are the ways in which an upstream fails a request, with the verdict that a non-idempotent one must get.
var faults = []struct {
	name    string
	serve   func(f *fake, c *exchangeConn) bool
	verdict verdict.Verdict
}{
	{"reset before the head is read", func(_ *fake, c *exchangeConn) bool { return c.reset() }, verdict.Unknown},
	{"reset before the body is read", func(_ *fake, c *exchangeConn) bool { http.ReadRequest(c.Reader); return c.reset() }, verdict.Unknown},
	{"reset after the body", func(f *fake, c *exchangeConn) bool { f.run(c); return c.reset() }, verdict.Unknown},
	{"closed without an answer", func(f *fake, c *exchangeConn) bool { f.run(c); return false }, verdict.Unknown},
	{"answer cut in its head", func(f *fake, c *exchangeConn) bool { f.run(c); c.answer("HTTP/1.1 200 O"); return false }, verdict.Unknown},
	{"answer cut in its body", func(f *fake, c *exchangeConn) bool { f.run(c); c.answer(okAnswer[:len(okAnswer)-1]); return false }, verdict.Ran},
	{"answer without an end", func(f *fake, c *exchangeConn) bool { f.run(c); c.answer("HTTP/1.0 200 OK\r\n\r\ndone"); return false }, verdict.Ran},
	{late, func(f *fake, c *exchangeConn) bool { f.run(c); c.Peek(1); return false }, verdict.Unknown},
	{"refused by protocol", func(_ *fake, c *exchangeConn) bool {
		http.ReadRequest(c.Reader)
		c.answer("HTTP/1.1 503 Service Unavailable\r\nDaisyswitch-Verdict: not-run\r\nContent-Length: 0\r\n\r\n")
		return false
	}, verdict.NotRun},
}

// warm answers the first request of each connection and leaves the others to the fault.
func warm(serve func(f *fake, c *exchangeConn) bool) func(f *fake, c *exchangeConn) bool {
	return func(f *fake, c *exchangeConn) bool {
		if c.nth == 1 {
			return healthy(f, c)
		}
		return serve(f, c)
	}
}

// TestNonIdempotentRunsAtMostOnce brings about each fault on fresh and on reused connections, while a second upstream would gladly run the request again.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for _, reused := range []bool{false, true} {
		for _, fault := range faults {
			for _, extra := range []string{"", "Idempotency-Key"} {
				t.Run(fault.name, func(t *testing.T) {
					t.Parallel()
					failOnce(t, fault.serve, fault.verdict, timeoutFor(fault.name), reused, extra)
				})
			}
		}
	}
}

func failOnce(t *testing.T, serve func(f *fake, c *exchangeConn) bool, want verdict.Verdict, timeout string, reused bool, extra string) {
	if reused {
		serve = warm(serve)
	}
	bad := newFake(t, serve)
	good := newFake(t, healthy)
	budget := int64(100) // the retry budget must not hide a retry
	if want == verdict.NotRun {
		budget = 1
	}
	e := newEntry(t, caller.Options{RetryPercent: budget}, upstream.Options{Transport: transport.Options{QuietBound: time.Hour}})
	e.announce("bad", bad.Addr())
	if reused {
		_, body := e.do(t, "POST", "/", "", caller.RequestIDHeader, "warm")
		assert.Equal(t, body, "done")
	}
	body := "lot"
	if extra != "" {
		body = "" // net/http's client would replay a request with this header and no body
	}
	bad.heads.Store(0)
	e.announce("good", good.Addr())
	e.occupy("bad") // makes the bad one the first choice
	resp, answer := e.do(t, "POST", "/", body, caller.RequestIDHeader, "r", caller.TimeoutHeader, timeout, "Idempotency-Key", extra)
	var got refusal.Refusal
	assert.NilError(t, json.Unmarshal([]byte(answer), &got), answer)
	assert.Equal(t, resp.Header.Get(refusal.Header), got.Verdict)
	assert.Equal(t, got.Verdict, want.String(), got.Reason)
	assert.Equal(t, bad.heads.Load(), int64(1))
	assert.Equal(t, good.ran("r"), 0)
	if want == verdict.NotRun {
		assert.Equal(t, bad.ran("r"), 0)
	}
	if want == verdict.Ran {
		assert.Equal(t, bad.ran("r"), 1)
	}
}

// TestRetriesElsewhere shows that what surely did not run, and what may be repeated, is sent to another upstream.
func TestRetriesElsewhere(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			bad, good := newFake(t, fault.serve), newFake(t, healthy)
			e := newEntry(t, caller.Options{RetryPercent: 100}, upstream.Options{})
			e.announce("bad", bad.Addr())
			e.announce("good", good.Addr())
			e.occupy("bad")
			_, answer := e.do(t, "GET", "/", "", caller.TimeoutHeader, timeoutFor(fault.name))
			if fault.name == late || fault.name == "answer without an end" {
				assert.Assert(t, strings.Contains(answer, "verdict"))
			} else {
				assert.Equal(t, answer, "done")
			}
			if fault.verdict == verdict.NotRun {
				_, answer = e.do(t, "POST", "/", "x", caller.RequestIDHeader, "p")
				assert.Equal(t, answer, "done")
				assert.Equal(t, good.ran("p")+bad.ran("p"), 1)
			}
		})
	}
}

// TestRefusedDialIsNotRun shows that an upstream that is gone costs a non-idempotent request nothing while another is there.
func TestRefusedDialIsNotRun(t *testing.T) {
	gone, good := newFake(t, healthy), newFake(t, healthy)
	gone.Close()
	e := newEntry(t, caller.Options{}, upstream.Options{})
	e.announce("gone", gone.Addr())
	resp, _ := e.do(t, "POST", "/", "x")
	assert.Equal(t, resp.Header.Get(refusal.Header), "not-run")
	e.announce("good", good.Addr())
	for range 20 {
		_, answer := e.do(t, "POST", "/", "x", caller.RequestIDHeader, "r")
		assert.Equal(t, answer, "done")
	}
	assert.Equal(t, good.ran("r"), 20)
}
