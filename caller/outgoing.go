package caller

import (
	"net/http"
	"net/url"
	"strconv"

	"daisyswitch/transport"
)

// newUpstreamRequest builds the upstream request from scratch, so that its framing never depends on the caller's bytes.
func (x *exchange) newUpstreamRequest(address string) *transport.Request {
	header := make(http.Header, len(x.r.Header)+1)
	copyHeader(header, x.r.Header)
	header[ClassHeader] = []string{x.class.Name}
	header[AttemptHeader] = []string{strconv.Itoa(x.attempts + 1)}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	body, length := x.body.reader()
	return &transport.Request{
		Request: &http.Request{
			Method: x.r.Method,
			URL: &url.URL{
				Scheme: "http", Host: address,
				Path: x.r.URL.Path, RawPath: x.r.URL.RawPath,
				RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery,
			},
			Host:          x.r.Host,
			Header:        header,
			Body:          body,
			ContentLength: length,
			Trailer:       x.r.Trailer,
		},
		Idempotent:        x.idempotent,
		Fresh:             x.attempts > 0,
		Stream:            x.body.streamed(),
		OnInformational:   x.relayInformational,
		Interrupt:         x.interruptBody,
		MayRetryElsewhere: x.mayRetry,
	}
}

// relayInformational relays a 1xx response of an upstream to the caller.
func (x *exchange) relayInformational(code int, head http.Header) {
	h := x.w.Header()
	kept := h.Clone()
	copyHeader(h, head)
	x.w.WriteHeader(code)
	clear(h)
	for name, values := range kept {
		h[name] = values
	}
}
