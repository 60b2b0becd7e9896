package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"daisyswitch/event"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"github.com/julienschmidt/httprouter"
)

const (
	maxBodyBytes      = 1 << 20
	controlTimeout    = 5 * time.Second // for control's answer to one request
	maxAuditRecords   = 1000            // records in one response
	maxNameBytes      = 128
	statusUnavailable = http.StatusServiceUnavailable
)

// Options configures a Front.
type Options struct {
	Propose func(context.Context, *wire.Command) (*wire.CommandResult, error)
	Read    func(context.Context, *wire.ReadRequest) (*wire.ReadReply, error)
	Current func() *wire.Configuration // active at this entry, nil before the first is received
}

// Front serves the administration interface.
type Front struct {
	options Options
	router  *httprouter.Router
}

// New returns a front with all its routes.
func New(o Options) *Front {
	f := &Front{options: o, router: httprouter.New()}
	f.router.PanicHandler = handlePanic
	f.router.GET("/v1/status", f.status)
	f.router.GET("/v1/configuration", f.configuration)
	f.router.GET("/v1/audit", f.audit)
	f.router.PUT("/v1/classes/:name", f.putClass)
	f.router.DELETE("/v1/classes/:name", f.removeClass)
	f.router.PUT("/v1/teams/:name", f.putTeam)
	f.router.DELETE("/v1/teams/:name", f.removeTeam)
	f.router.PUT("/v1/domains/:name", f.putDomain)
	f.router.POST("/v1/jobs", f.submit)
	f.router.GET("/v1/jobs/:id", f.job)
	f.router.DELETE("/v1/jobs/:id", f.cancel)
	return f
}

// ServeHTTP serves one request of an operator.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.router.ServeHTTP(w, r)
}

func handlePanic(w http.ResponseWriter, _ *http.Request, cause any) {
	event.RequestPanicked.Error(fmt.Errorf("%v", cause))
	writeJSON(w, http.StatusInternalServerError, Failure{"internal", verdict.Unknown.String(), "internal error of the entry; its log has the cause"})
}

func (f *Front) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	reply, ok := f.read(w, r, &wire.ReadRequest{Kind: wire.ReadKind_READ_KIND_STATUS})
	if ok {
		writeJSON(w, http.StatusOK, statusFromWire(reply.Status))
	}
}

// configuration writes the leader's configuration or, for ?local=true, the one active at this entry.
func (f *Front) configuration(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if r.URL.Query().Get("local") == "true" {
		writeJSON(w, http.StatusOK, configurationFromWire(f.options.Current()))
		return
	}
	reply, ok := f.read(w, r, &wire.ReadRequest{Kind: wire.ReadKind_READ_KIND_STATUS})
	if ok {
		writeJSON(w, http.StatusOK, configurationFromWire(reply.Status.GetConfiguration()))
	}
}

func (f *Front) audit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, err := parseNumber(r.URL.Query().Get("after"), 0)
	if err != nil {
		writeBadRequest(w, fmt.Errorf("after: %w", err))
		return
	}
	limit, err := parseNumber(r.URL.Query().Get("limit"), maxAuditRecords)
	if err != nil || limit > maxAuditRecords {
		writeBadRequest(w, fmt.Errorf("limit: must be a whole number up to %d", maxAuditRecords))
		return
	}
	reply, ok := f.read(w, r, &wire.ReadRequest{Kind: wire.ReadKind_READ_KIND_AUDIT, After: after, Limit: int32(limit)})
	if !ok {
		return
	}
	out := Audit{Pruned: reply.AuditFolded, Records: []AuditRecord{}}
	for _, record := range reply.Audit {
		out.Records = append(out.Records, *auditRecordFromWire(record))
	}
	writeJSON(w, http.StatusOK, out)
}

func (f *Front) job(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	id := params.ByName("id")
	reply, ok := f.read(w, r, &wire.ReadRequest{Kind: wire.ReadKind_READ_KIND_JOB, Job: id})
	if !ok {
		return
	}
	if reply.Job == nil {
		writeJSON(w, http.StatusNotFound, Failure{"not_found", verdict.NotRun.String(), fmt.Sprintf("no job %q", id)})
		return
	}
	writeJSON(w, http.StatusOK, jobStatusFromWire(reply.Job))
}

func (f *Front) read(w http.ResponseWriter, r *http.Request, request *wire.ReadRequest) (*wire.ReadReply, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), controlTimeout)
	defer cancel()
	reply, err := f.options.Read(ctx, request)
	if err != nil {
		writeUnavailable(w, verdict.NotRun, err)
		return nil, false
	}
	return reply, true
}

func (f *Front) propose(w http.ResponseWriter, r *http.Request, c *wire.Command) (*wire.CommandResult, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), controlTimeout)
	defer cancel()
	c.TimeMs = time.Now().UnixMilli()
	result, err := f.options.Propose(ctx, c)
	if err != nil {
		writeUnavailable(w, verdict.Of(err), err)
		return nil, false
	}
	return result, true
}

func parseNumber(text string, missing uint64) (uint64, error) {
	if text == "" {
		return missing, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.New("must be a whole number")
	}
	return n, nil
}

// parseBody decodes a JSON body; unknown fields and data after the first value are errors.
func parseBody(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	if decoder.More() {
		return errors.New("body: more than one JSON value")
	}
	return nil
}

func writeBadRequest(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusBadRequest, Failure{"bad_request", verdict.NotRun.String(), err.Error()})
}

func writeUnavailable(w http.ResponseWriter, v verdict.Verdict, err error) {
	code := "unavailable"
	if v != verdict.NotRun {
		code = "timeout"
	}
	writeJSON(w, statusUnavailable, Failure{code, v.String(), err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	if failure, ok := body.(Failure); ok {
		w.Header().Set(HeaderVerdict, failure.Verdict)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
