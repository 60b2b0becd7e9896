package caller

import (
	"encoding/json"
	"net/http"

	"daisyswitch/verdict"
)

// Headers between caller, entry and upstream.
const (
	ClassHeader      = "Daisyswitch-Class"
	RequestIDHeader  = "Daisyswitch-Request-Id"
	TimeoutHeader    = "Daisyswitch-Timeout-Ms"
	IdempotentHeader = "Daisyswitch-Idempotent"
	AttemptHeader    = "Daisyswitch-Attempt"
	VerdictHeader    = "Daisyswitch-Verdict"
)

// Code names the reason of a refusal for programs.
type Code string

// The codes of refusals; docs/operators/requests.md says what to do about each.
const (
	CodeBadRequest      Code = "bad_request"
	CodeUnknownClass    Code = "unknown_class"
	CodeNoConfiguration Code = "no_configuration"
	CodeNoUpstream      Code = "no_upstream"
	CodeBusy            Code = "busy"
	CodeTimeout         Code = "timeout"
	CodeHeaderTooLarge  Code = "header_too_large"
	CodeBodyTooLarge    Code = "body_too_large"
	CodeSlowCaller      Code = "slow_caller"
	CodeCallerGone      Code = "caller_gone"
	CodeUpstreamRefused Code = "upstream_refused"
	CodeUpstreamFailed  Code = "upstream_failed"
	CodeBrokenAnswer    Code = "broken_answer"
)

// Refusal is the body of an answer that is not an upstream's own.
type Refusal struct {
	Verdict string `json:"verdict"` // not-run, ran or unknown
	Reason  string `json:"reason"`  // one line for people
	Code    Code   `json:"code"`
	status  int
}

func refuse(status int, v verdict.Verdict, code Code, reason string) *Refusal {
	return &Refusal{Verdict: v.String(), Reason: reason, Code: code, status: status}
}

// notRun is a refusal of a request that never left the entry.
func notRun(status int, code Code, reason string) *Refusal {
	return refuse(status, verdict.NotRun, code, reason)
}

// write answers with the refusal.
func (f *Refusal) write(w http.ResponseWriter) {
	body, err := json.Marshal(f)
	if err != nil {
		panic(http.ErrAbortHandler) // plain strings always marshal
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(VerdictHeader, f.Verdict)
	w.WriteHeader(f.status)
	w.Write(body) //nolint:errcheck // the caller may be gone
}
