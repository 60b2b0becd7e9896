package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"

	"daisyswitch/verdict"
)

// Header carries the verdict of an answer that is not an upstream's own.
const Header = "Daisyswitch-Verdict"

// Code names the reason of a refusal for programs.
type Code string

// The codes of refusals; docs/operators/requests.md says what to do about each.
const (
	BadRequest      Code = "bad_request"
	UnknownClass    Code = "unknown_class"
	NoConfiguration Code = "no_configuration"
	NoUpstream      Code = "no_upstream"
	Busy            Code = "busy"
	Timeout         Code = "timeout"
	HeaderTooLarge  Code = "header_too_large"
	BodyTooLarge    Code = "body_too_large"
	SlowCaller      Code = "slow_caller"
	CallerGone      Code = "caller_gone"
	UpstreamRefused Code = "upstream_refused"
	UpstreamFailed  Code = "upstream_failed"
	BrokenAnswer    Code = "broken_answer"
)

// Refusal is the body of an answer that is not an upstream's own.
type Refusal struct {
	Verdict string `json:"verdict"` // not-run, ran or unknown
	Reason  string `json:"reason"`  // one line for people
	Code    Code   `json:"code"`
	status  int
}

// New returns a refusal with an HTTP status.
func New(status int, v verdict.Verdict, code Code, reason string) *Refusal {
	return &Refusal{Verdict: v.String(), Reason: reason, Code: code, status: status}
}

// NotRun returns a refusal of a request that surely did not run.
func NotRun(status int, code Code, reason string) *Refusal {
	return New(status, verdict.NotRun, code, reason)
}

// Write answers with the refusal.
func (f *Refusal) Write(w http.ResponseWriter) {
	body, err := json.Marshal(f)
	if err != nil {
		panic(http.ErrAbortHandler) // plain strings always marshal
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(Header, f.Verdict)
	w.WriteHeader(f.status)
	w.Write(body) //nolint:errcheck // the caller may be gone
}

// Raw returns the refusal as bytes for a connection that has no handler; the connection must be closed after it.
func (f *Refusal) Raw() []byte {
	body, err := json.Marshal(f)
	if err != nil {
		return nil // plain strings always marshal
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		f.status, http.StatusText(f.status), Header, f.Verdict, len(body), body)
}
