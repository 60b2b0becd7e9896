package caller

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Headers between caller, entry and upstream, beside refusal.Header.
const (
	ClassHeader      = "Daisyswitch-Class"
	RequestIDHeader  = "Daisyswitch-Request-Id"
	TimeoutHeader    = "Daisyswitch-Timeout-Ms"
	IdempotentHeader = "Daisyswitch-Idempotent"
	AttemptHeader    = "Daisyswitch-Attempt"
)

const (
	maxRequestIDBytes = 128
	maxTimeout        = time.Hour
)

// terms is what a caller's headers say about the handling of a request.
type terms struct {
	class      string
	requestID  string
	timeout    time.Duration // 0 if not given
	idempotent bool
}

// parseTerms reads the headers of a request.
func parseTerms(r *http.Request) (terms, error) {
	t := terms{class: r.Header.Get(ClassHeader), requestID: r.Header.Get(RequestIDHeader)}
	for _, name := range []string{ClassHeader, RequestIDHeader, TimeoutHeader, IdempotentHeader} {
		if len(r.Header[name]) > 1 {
			return t, errors.New("header " + name + " is given twice")
		}
	}
	if t.class == "" {
		return t, errors.New("header " + ClassHeader + " is missing")
	}
	if len(t.requestID) > maxRequestIDBytes {
		return t, errors.New("header " + RequestIDHeader + " is too long")
	}
	var err error
	if t.timeout, err = parseTimeout(r.Header.Get(TimeoutHeader)); err != nil {
		return t, err
	}
	t.idempotent, err = parseIdempotent(r.Method, r.Header.Get(IdempotentHeader))
	return t, err
}

func parseTimeout(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	timeout := time.Duration(ms) * time.Millisecond
	if err != nil || ms == 0 || timeout > maxTimeout {
		return 0, errors.New("header " + TimeoutHeader + " must be 1 to 3600000")
	}
	return timeout, nil
}

// parseIdempotent decides by method, and by the caller's word where the method promises nothing.
func parseIdempotent(method, value string) (bool, error) {
	if value != "" && value != "true" && value != "false" {
		return false, errors.New("header " + IdempotentHeader + " must be true or false")
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return value != "false", nil
	}
	return value == "true", nil
}

// checkShape refuses what could be read differently by the next hop, or cannot be forwarded.
func checkShape(r *http.Request) error {
	switch {
	case r.Method == http.MethodConnect:
		return errors.New("CONNECT is not served")
	case r.ProtoMajor != 1:
		return errors.New("only HTTP/1 is served")
	case r.Header.Get("Upgrade") != "":
		return errors.New("upgrades are not served")
	case len(r.TransferEncoding) > 1 || len(r.TransferEncoding) == 1 && r.TransferEncoding[0] != "chunked":
		return errors.New("transfer encodings other than chunked are not served")
	case r.URL.Host != "" && r.URL.Host != r.Host:
		return errors.New("host and target differ")
	}
	return nil
}
