package verdict

import (
	"errors"
	"fmt"
)

// Verdict says whether a request may have run.
type Verdict int

// Verdicts; the zero value is Unknown, so that an unset verdict never asserts that a request did or did not run.
const (
	Unknown Verdict = iota // may have run
	NotRun                 // is known not to have run and will never run
	Ran                    // is known to have run
)

var names = map[Verdict]string{Unknown: "unknown", NotRun: "not-run", Ran: "ran"}

// String returns the verdict as written in headers and bodies.
func (v Verdict) String() string {
	return names[v]
}

// Parse returns the verdict of a header value; other values give Unknown.
func Parse(s string) Verdict {
	for v, name := range names {
		if name == s {
			return v
		}
	}
	return Unknown
}

// Error is an error with the verdict on its request.
type Error struct {
	Verdict Verdict
	Reason  string // one human-readable line
	Err     error  // cause, may be nil
}

// Error returns the reason, the verdict and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause of the error.
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
