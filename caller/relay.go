package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"daisyswitch/refusal"
	"daisyswitch/transport"
	"daisyswitch/verdict"
)

const (
	maxBufferedResponse = 16 << 10 // responses up to this many bytes are read completely before they are relayed
	copyBufferBytes     = 32 << 10
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// relay sends the upstream's response to the caller. A response that fails before any of it was relayed becomes a refusal.
// One that fails later aborts the caller's connection.
func (x *exchange) relay(ctx context.Context, a *transport.Answer) (refused *refusal.Refusal, retry bool) {
	if a.ContentLength < 0 && len(a.TransferEncoding) == 0 {
		x.mayHaveRun = true
		return refusal.New(http.StatusBadGateway, verdict.Ran, refusal.BrokenAnswer, "the upstream's response has neither a Content-Length nor chunked encoding"), false
	}
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	if a.ContentLength > maxBufferedResponse || a.ContentLength < 0 {
		x.streamResponse(ctx, a, *buffer)
		return nil, false
	}
	body, err := readToEOF(a, *buffer)
	if err != nil {
		x.mayHaveRun = true
		return x.handleTruncatedResponse(ctx, err)
	}
	x.writeHead(a)
	x.w.Write(body) //nolint:errcheck // the caller may be gone; the upstream's response was complete
	x.recordOutcome(verdict.Ran)
	return nil, false
}

// readToEOF reads a body of known length up to io.EOF.
func readToEOF(a *transport.Answer, buffer []byte) ([]byte, error) {
	n := 0
	for {
		m, err := a.Body.Read(buffer[n:])
		n += m
		if err == io.EOF {
			return buffer[:n], nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// handleTruncatedResponse handles a response that ended early: the upstream ran the request, but its result is lost.
func (x *exchange) handleTruncatedResponse(ctx context.Context, err error) (refused *refusal.Refusal, retry bool) {
	x.cause = err
	if ctx.Err() != nil {
		return refusal.New(http.StatusGatewayTimeout, verdict.Ran, refusal.Timeout, "the deadline passed before the upstream's response was complete"), false
	}
	refused = refusal.New(http.StatusBadGateway, verdict.Ran, refusal.BrokenAnswer, "the upstream's response ended early")
	return refused, x.idempotent && x.mayRetry()
}

// writeHead relays the status and headers of the response.
func (x *exchange) writeHead(a *transport.Answer) {
	h := x.w.Header()
	copyHeader(h, a.Header)
	delete(h, refusal.Header)
	for name := range a.Trailer {
		h.Add("Trailer", name)
	}
	x.w.WriteHeader(a.StatusCode)
}

// streamResponse streams a response to the caller with a fixed-size buffer.
func (x *exchange) streamResponse(ctx context.Context, a *transport.Answer, buffer []byte) {
	announced := len(a.Trailer)
	x.writeHead(a)
	deadline, _ := ctx.Deadline()
	x.control.SetWriteDeadline(deadline) //nolint:errcheck // without write deadlines a slow caller holds its slot longer
	err := x.copyBody(a, buffer)
	if err != nil {
		x.recordOutcome(verdict.Ran)
		panic(http.ErrAbortHandler) // the only way to tell the caller that the response is truncated
	}
	x.copyTrailers(a, announced)
	x.control.SetWriteDeadline(time.Time{}) //nolint:errcheck
	x.recordOutcome(verdict.Ran)
}

// copyBody copies the response body to the caller and flushes whenever no more bytes of the upstream are buffered.
func (x *exchange) copyBody(a *transport.Answer, buffer []byte) error {
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if _, werr := x.w.Write(buffer[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if a.Paused() {
			if ferr := x.control.Flush(); ferr != nil && !errors.Is(ferr, http.ErrNotSupported) {
				return ferr
			}
		}
	}
}

// copyTrailers relays the trailers that followed the body.
func (x *exchange) copyTrailers(a *transport.Answer, announced int) {
	if len(a.Trailer) == 0 {
		return
	}
	prefix := ""
	if announced < len(a.Trailer) {
		prefix = http.TrailerPrefix
		x.control.Flush() //nolint:errcheck // unannounced trailers need a chunked response
	}
	for name, values := range a.Trailer {
		x.w.Header()[prefix+name] = values
	}
}
