package verdict

import (
	"errors"
	"fmt"
)

// Verdict says whether a request may have had its effect.
type Verdict int

// The verdicts; the zero value is Unknown, so that a forgotten verdict never promises anything.
const (
	Unknown Verdict = iota // may have run
	NotRun                 // surely did not run and never will
	Ran                    // surely ran
)

var names = map[Verdict]string{Unknown: "unknown", NotRun: "not-run", Ran: "ran"}

// String returns the form that callers see in headers and bodies.
func (v Verdict) String() string {
	return names[v]
}

// Parse returns the verdict of a header value; anything unfamiliar is Unknown.
func Parse(s string) Verdict {
	for v, name := range names {
		if name == s {
			return v
		}
	}
	return Unknown
}

// Error is a failure together with what it says about the request's effect.
type Error struct {
	Verdict Verdict
	Reason  string // one line for people
	Err     error  // cause, may be nil
}

// Error returns the reason, the verdict and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// New returns an error with a verdict and its cause, which may be nil.
func New(v Verdict, reason string, err error) *Error {
	return &Error{Verdict: v, Reason: reason, Err: err}
}

// Of returns the verdict that err carries, Unknown if it carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return Unknown
}
