package fakecaller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"daisyswitch/fakeupstream"
	"daisyswitch/standin"

	"gotest.tools/v3/assert"
)

// load sends requests to the given entries and returns the summary.
func load(t *testing.T, o Options, entries ...string) *Summary {
	o.Name, o.Class, o.Rate, o.Duration, o.Timeout, o.PostShare, o.Entries = "c", "bids", 500, 100*time.Millisecond, time.Minute, 0.5, entries
	c, err := New(o)
	assert.NilError(t, err)
	s := c.Run(context.Background())
	assert.NilError(t, c.Close())
	assert.Assert(t, s.Requests > 10)
	return s
}

func serve(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func answerCorrectly(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Write(fakeupstream.NewAnswer(r.Header.Get(headerRequestID), body, 100))
}

func TestEachAnswerIsJudged(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		outcome string
		failed  bool
	}{
		"own and whole": {answerCorrectly, standin.OutcomeOK, false},
		"another's": {func(w http.ResponseWriter, _ *http.Request) {
			w.Write(fakeupstream.NewAnswer("c-0", nil, 100))
		}, standin.OutcomeWrong, true},
		"short but complete": {func(w http.ResponseWriter, r *http.Request) {
			answer := fakeupstream.NewAnswer(r.Header.Get(headerRequestID), nil, 100)
			w.Write(answer[:len(answer)-1])
		}, standin.OutcomeWrong, true},
		"broken off": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			w.Write(make([]byte, 50))
			panic(http.ErrAbortHandler)
		}, standin.OutcomeBroken, false},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerVerdict, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			io.WriteString(w, `{"verdict": "not-run", "reason": "none", "code": "no_upstream"}`)
		}, "verdict:not-run", false},
		"two verdicts": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerVerdict, "not-run")
			io.WriteString(w, `{"verdict": "unknown"}`)
		}, standin.OutcomeWrong, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := load(t, Options{BodyBytes: 10}, serve(t, c.handler))
			assert.DeepEqual(t, s.Outcomes, map[string]int64{c.outcome: s.Requests})
			assert.Equal(t, s.Failed(), c.failed)
		})
	}
}

func TestOnlyRefusedConnectionsMoveToAnotherEntry(t *testing.T) {
	closed := httptest.NewServer(http.HandlerFunc(answerCorrectly))
	gone := closed.Listener.Addr().String()
	closed.Close()
	s := load(t, Options{}, gone, serve(t, answerCorrectly))
	assert.DeepEqual(t, s.Outcomes, map[string]int64{standin.OutcomeOK: s.Requests})
	s = load(t, Options{}, gone)
	assert.DeepEqual(t, s.Outcomes, map[string]int64{standin.OutcomeRefused: s.Requests})
	s = load(t, Options{}, serve(t, answerCorrectly), serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	assert.Assert(t, s.Outcomes[standin.OutcomeBroken] > 0 && s.Outcomes[standin.OutcomeOK] > 0)
}

func TestNothingIsSentTwiceOverADyingConnection(t *testing.T) {
	journal := filepath.Join(t.TempDir(), "caller-c.jsonl")
	var mu sync.Mutex
	times := map[string]int{}
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			mu.Lock()
			times[r.Header.Get(headerRequestID)]++
			mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		answerCorrectly(w, r)
	})
	load(t, Options{Journal: journal, BodyBytes: 10}, address)
	mu.Lock()
	defer mu.Unlock()
	told, err := standin.ReadJournal[standin.Told](journal)
	assert.NilError(t, err)
	for _, one := range told {
		assert.Assert(t, times[one.RequestID] <= 1)
		assert.Equal(t, one.Outcome == standin.OutcomeBroken, times[one.RequestID] == 1)
	}
}

func TestBalancerSendsToReadyEntriesFirst(t *testing.T) {
	ready := serve(t, func(http.ResponseWriter, *http.Request) {})
	not := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	b := newBalancer([]string{"a", "b", "c"}, []string{not, ready, not})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); b.watch(ctx) }()
	for b.checksDone.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	for range 100 {
		assert.Equal(t, b.order()[0], "b")
	}
	cancel()
	<-done
}
