package caller

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Headers exchanged between caller, entry and upstream, besides refusal.Header.
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

// requestParams holds the parameters that a caller sets in a request's headers.
type requestParams struct {
	class      string
	requestID  string
	timeout    time.Duration // 0 if not given
	idempotent bool
}

// parseRequestParams parses the Daisyswitch headers of a request.
func parseRequestParams(r *http.Request) (requestParams, error) {
	p := requestParams{class: r.Header.Get(ClassHeader), requestID: r.Header.Get(RequestIDHeader)}
	for _, name := range []string{ClassHeader, RequestIDHeader, TimeoutHeader, IdempotentHeader} {
		if len(r.Header[name]) > 1 {
			return p, errors.New("header " + name + " must be given only once")
		}
	}
	if p.class == "" {
		return p, errors.New("header " + ClassHeader + " is required")
	}
	if len(p.requestID) > maxRequestIDBytes {
		return p, errors.New("header " + RequestIDHeader + " must have at most 128 bytes")
	}
	var err error
	if p.timeout, err = parseTimeout(r.Header.Get(TimeoutHeader)); err != nil {
		return p, err
	}
	p.idempotent, err = parseIdempotent(r.Method, r.Header.Get(IdempotentHeader))
	return p, err
}

func parseTimeout(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	timeout := time.Duration(ms) * time.Millisecond
	if err != nil || ms == 0 || timeout > maxTimeout {
		return 0, errors.New("header " + TimeoutHeader + " must be an integer from 1 to 3600000")
	}
	return timeout, nil
}

// parseIdempotent returns whether the request is idempotent. The header overrides the default of the method.
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

// checkForwardable rejects requests that the next hop could interpret differently (request smuggling) or that cannot be forwarded.
func checkForwardable(r *http.Request) error {
	switch {
	case r.Method == http.MethodConnect:
		return errors.New("method CONNECT is not supported")
	case r.ProtoMajor != 1:
		return errors.New("only HTTP/1.x is supported")
	case r.Header.Get("Upgrade") != "":
		return errors.New("header Upgrade is not supported")
	case len(r.TransferEncoding) > 1 || len(r.TransferEncoding) == 1 && r.TransferEncoding[0] != "chunked":
		return errors.New("transfer encodings other than chunked are not supported")
	case r.URL.Host != "" && r.URL.Host != r.Host:
		return errors.New("header Host and the request target name different hosts")
	}
	return nil
}
