package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"

	"daisyswitch/verdict"
)

// Header is the HTTP header that carries the verdict of a refusal.
const Header = "Daisyswitch-Verdict"

// Code is the machine-readable reason of a refusal.
type Code string

// Codes of refusals; docs/operators/requests.md describes how to respond to each.
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

// Refusal is the JSON body of an error response of the entry.
type Refusal struct {
	Verdict string `json:"verdict"` // not-run, ran or unknown
	Reason  string `json:"reason"`  // one human-readable line
	Code    Code   `json:"code"`
	status  int
}

// New returns a refusal with an HTTP status.
func New(status int, v verdict.Verdict, code Code, reason string) *Refusal {
	return &Refusal{Verdict: v.String(), Reason: reason, Code: code, status: status}
}

// NotRun returns a refusal of a request that is known not to have run.
func NotRun(status int, code Code, reason string) *Refusal {
	return New(status, verdict.NotRun, code, reason)
}

// Write sends the refusal as the response.
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

// Raw returns the refusal as a complete HTTP/1.1 response, for connections without a handler. The connection must be closed after it.
func (f *Refusal) Raw() []byte {
	body, err := json.Marshal(f)
	if err != nil {
		return nil // plain strings always marshal
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		f.status, http.StatusText(f.status), Header, f.Verdict, len(body), body)
}
