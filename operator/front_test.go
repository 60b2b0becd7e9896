package operator_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"daisyswitch/operator"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// fakeControl records proposals and answers each with the given result or error.
type fakeControl struct {
	proposed []*wire.Command
	result   *wire.CommandResult
	err      error
}

func (f *fakeControl) propose(_ context.Context, c *wire.Command) (*wire.CommandResult, error) {
	f.proposed = append(f.proposed, c)
	return f.result, f.err
}

func (f *fakeControl) newFront() *operator.Front {
	return operator.New(operator.Options{
		Propose: f.propose,
		Read: func(context.Context, *wire.ReadRequest) (*wire.ReadReply, error) {
			return &wire.ReadReply{Status: &wire.Status{Configuration: &wire.Configuration{Version: 4}}}, nil
		},
		Current: func() *wire.Configuration { return nil },
	})
}

type request struct {
	method, path, headers, body string
}

const changeHeaders = "Daisyswitch-Operator: ana\nDaisyswitch-Sequence: 7\nDaisyswitch-Base-Version: 4"

func send(h http.Handler, r request) *httptest.ResponseRecorder {
	q := httptest.NewRequest(r.method, r.path, strings.NewReader(r.body))
	for line := range strings.Lines(r.headers) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		q.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, q)
	return w
}

// TestBadRequests checks the responses to invalid requests and that none of them reaches control.
func TestBadRequests(t *testing.T) {
	control := &fakeControl{}
	var page strings.Builder
	for _, r := range []request{
		{"PUT", "/v1/classes/bids", "", `{"kind": "service", "target_p99_us": 50000}`},
		{"PUT", "/v1/classes/bids", "Daisyswitch-Operator: ana", `{"kind": "service"}`},
		{"PUT", "/v1/classes/bids", "Daisyswitch-Operator: ana\nDaisyswitch-Sequence: 0", `{"kind": "service"}`},
		{"PUT", "/v1/classes/bids", "Daisyswitch-Operator: ana\nDaisyswitch-Sequence: 1", `{"kind": "service"}`},
		{"PUT", "/v1/classes/bids", changeHeaders, `{"kind": "quick"}`},
		{"PUT", "/v1/classes/bids", changeHeaders, `{"kind": "service", "weight": 3}`},
		{"PUT", "/v1/classes/bids", changeHeaders, `{"name": "offers", "kind": "service"}`},
		{"PUT", "/v1/classes/bids", changeHeaders, `{"kind": "service"} {}`},
		{"PUT", "/v1/teams/ledger", changeHeaders, `{"quota": 5}`},
		{"PUT", "/v1/domains/cebu", changeHeaders, ``},
		{"POST", "/v1/jobs", changeHeaders, `{"tasks": 0, "size": {"milli_cpu": 5}}`},
		{"POST", "/v1/jobs", changeHeaders, `{"tasks": 1, "size": {"milli_cpu": -5}}`},
		{"POST", "/v1/jobs", changeHeaders, `{"id": "mine", "tasks": 1, "size": {"milli_cpu": 5}}`},
		{"DELETE", "/v1/jobs/j-1", "", ""},
		{"GET", "/v1/audit?after=x", "", ""},
		{"GET", "/v1/audit?limit=5000", "", ""},
		{"GET", "/v1/jobs/nosuch", "", ""},
	} {
		w := send(control.newFront(), r)
		assert.Equal(t, w.Header().Get(operator.HeaderVerdict), "not-run", r.path)
		fmt.Fprintf(&page, "%s %s %s\n%d %s", r.method, r.path, r.body, w.Code, w.Body)
	}
	assert.Equal(t, len(control.proposed), 0)
	golden.Assert(t, page.String(), "bad_requests.txt")
}

func TestChangeReachesControlWhole(t *testing.T) {
	control := &fakeControl{result: &wire.CommandResult{Change: &wire.ChangeResult{Outcome: wire.Outcome_OUTCOME_ACCEPTED, Version: 5}}}
	w := send(control.newFront(), request{"PUT", "/v1/domains/cebu", changeHeaders, `{"out": true}`})
	assert.Equal(t, w.Code, http.StatusOK)
	change := control.proposed[0].Change
	assert.Equal(t, change.Operator, "ana")
	assert.Equal(t, change.Sequence, uint64(7))
	assert.Equal(t, change.BaseVersion, uint64(4))
	assert.Equal(t, change.GetSetDomain().Name, "cebu")
	assert.Equal(t, change.GetSetDomain().Out, true)
}

// TestClientReportsLostAnswer guards against a change reported as not made although it may have been: the first entry loses control's answer, and only the second is known to have done nothing.
func TestClientReportsLostAnswer(t *testing.T) {
	lost := &fakeControl{err: verdict.New(verdict.Unknown, "no answer", errors.New("reset"))}
	down := &fakeControl{err: verdict.New(verdict.NotRun, "control cannot be reached", nil)}
	client := client(t, lost, down)
	_, err := client.Change(t.Context(), http.MethodDelete, "/v1/classes/bids", operator.ChangeNumber{Sequence: 3, BaseVersion: 4}, nil)
	assert.Equal(t, verdict.Of(err), verdict.Unknown)
	assert.Equal(t, lost.proposed[0].Change.Sequence, down.proposed[0].Change.Sequence)
}

// TestClientStopsAtARefusal sends a request that every entry refuses as invalid, so the client need not try another entry.
func TestClientStopsAtARefusal(t *testing.T) {
	first, second := &fakeControl{}, &fakeControl{}
	client := client(t, first, second)
	client.Operator = ""
	_, err := client.Change(t.Context(), http.MethodDelete, "/v1/classes/bids", operator.ChangeNumber{Sequence: 3}, nil)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.ErrorContains(t, err, "Daisyswitch-Operator")
}

func client(t *testing.T, controls ...*fakeControl) *operator.Client {
	c := &operator.Client{Operator: "ana", HTTP: &http.Client{}}
	for _, control := range controls {
		server := httptest.NewServer(control.newFront())
		t.Cleanup(server.Close)
		c.Entries = append(c.Entries, strings.TrimPrefix(server.URL, "http://"))
	}
	return c
}
