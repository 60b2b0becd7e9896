package worker_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"daisyswitch/verdict"
	"daisyswitch/wire"
	"daisyswitch/worker"

	"github.com/julienschmidt/httprouter"
	"gotest.tools/v3/assert"
)

type reportFunc func(context.Context, *wire.ReportBatch) (*wire.ReportBatchReply, error)

func newHandler(t *testing.T, report reportFunc) http.Handler {
	f := worker.New(worker.Options{
		Entry:   "e1",
		Domain:  "cebu",
		Report:  report,
		Version: func() uint64 { return 1 },
		Samples: func() []*wire.ServiceSample { return nil },
	})
	t.Cleanup(func() { f.Close() })
	router := httprouter.New()
	router.POST(worker.PollPath, f.Poll)
	return router
}

func poll(h http.Handler, name, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/workers/"+name+"/poll", strings.NewReader(body)))
	return w
}

func reportBody(name string) string {
	return fmt.Sprintf(`{"name": %q, "domain": "cebu", "incarnation": "i", "sequence": 1, "capacity": {"milli_cpu": 1000}, "tasks": []}`, name)
}

// TestEachPollGetsItsOwnReply guards against replies of a batch that reach the wrong poll: 100 workers poll at once, and each reply carries the worker's name.
func TestEachPollGetsItsOwnReply(t *testing.T) {
	h := newHandler(t, func(_ context.Context, b *wire.ReportBatch) (*wire.ReportBatchReply, error) {
		reply := &wire.ReportBatchReply{}
		for _, r := range b.Reports {
			reply.Replies = append(reply.Replies, &wire.WorkerReply{LeaseMs: 5000, Refusal: r.Worker.Name})
		}
		return reply, nil
	})
	var wait sync.WaitGroup
	for i := range 100 {
		wait.Go(func() {
			name := fmt.Sprintf("w%d", i)
			w := poll(h, name, reportBody(name))
			var reply worker.Reply
			assert.Check(t, json.Unmarshal(w.Body.Bytes(), &reply))
			assert.Check(t, reply.Refusal == name && reply.LeaseMS == 5000, w.Body.String())
		})
	}
	wait.Wait()
}

func TestNoAnswerGivesNoLease(t *testing.T) {
	h := newHandler(t, func(context.Context, *wire.ReportBatch) (*wire.ReportBatchReply, error) {
		return nil, verdict.New(verdict.Unknown, "lost", errors.New("reset"))
	})
	w := poll(h, "w1", reportBody("w1"))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Daisyswitch-Verdict"), "unknown")
	assert.Assert(t, strings.Contains(w.Body.String(), `"lease_ms":0`))
}

func TestBadReportsAreRefused(t *testing.T) {
	h := newHandler(t, func(context.Context, *wire.ReportBatch) (*wire.ReportBatchReply, error) {
		t.Error("an invalid report reached control")
		return nil, errors.New("unexpected")
	})
	for _, invalid := range []string{
		"", "{", `{"name": "other"}`, reportBody("w1")[:40], `{"nom": "w1"}`,
		strings.Replace(reportBody("w1"), "1000", "-5", 1),
		strings.Replace(reportBody("w1"), `"sequence": 1`, `"sequence": 0`, 1),
		strings.Replace(reportBody("w1"), `[]`, `[{"job": "j", "phase": "flying"}]`, 1),
	} {
		w := poll(h, "w1", invalid)
		assert.Equal(t, w.Code, http.StatusBadRequest, invalid)
		assert.Equal(t, w.Header().Get("Daisyswitch-Verdict"), "not-run", invalid)
	}
}
