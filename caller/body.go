package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"daisyswitch/refusal"
)

const (
	maxBufferedBody = 64 << 10 // bytes of a body that are buffered before a slot is taken
	minBodyRate     = 16 << 10 // bytes per second that a caller must send after the first HeaderTimeout
)

var (
	errBodyTooLarge = errors.New("request body exceeds the size limit")
	errBodyTooSlow  = errors.New("request body arrived below the minimum rate")
)

// requestBody is a caller's request body: a buffered beginning and an unread remainder.
type requestBody struct {
	start    []byte
	rest     *boundedReader // nil if the body is buffered completely
	trailers bool
	consumed bool // an attempt has begun to read rest
}

// fullyBuffered reports whether the body has been read completely.
func (b *requestBody) fullyBuffered() bool {
	return b.rest == nil
}

func (b *requestBody) streamed() bool {
	return b.rest != nil
}

// replayable reports whether the body can still be sent from its beginning.
func (b *requestBody) replayable() bool {
	return b.rest == nil || !b.consumed
}

// reader returns the body and its length, or -1 if the length is unknown.
func (b *requestBody) reader() (io.ReadCloser, int64) {
	if b.rest == nil && len(b.start) == 0 && !b.trailers {
		return nil, 0
	}
	start := bytes.NewReader(b.start)
	if b.rest == nil && b.trailers {
		return io.NopCloser(start), -1
	}
	if b.rest == nil {
		return io.NopCloser(start), int64(len(b.start))
	}
	b.consumed = true
	return io.NopCloser(io.MultiReader(start, b.rest)), b.rest.length
}

// readRefusal returns a refusal if reading a streamed body from the caller failed, else nil.
func (b *requestBody) readRefusal() *refusal.Refusal {
	if b.rest == nil || b.rest.err == nil {
		return nil
	}
	f := bodyRefusal(b.rest.err)
	f.Verdict = "unknown" // a part of the request was sent
	return f
}

func bodyRefusal(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return refusal.NotRun(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, err.Error())
	case errors.Is(err, errBodyTooSlow):
		return refusal.NotRun(http.StatusRequestTimeout, refusal.SlowCaller, err.Error())
	default:
		return refusal.NotRun(http.StatusBadRequest, refusal.BadRequest, "request body is incomplete or malformed")
	}
}

// readBody buffers the body, or the beginning of a long one.
func (x *exchange) readBody() *refusal.Refusal {
	x.body = &requestBody{}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	limit := x.front.options.BodyBytes
	rest := &boundedReader{x: x, length: x.r.ContentLength, remaining: limit, start: time.Now()}
	x.body.rest = rest
	if x.r.ContentLength > limit {
		return bodyRefusal(errBodyTooLarge)
	}
	size := prefixSize(x.r.ContentLength)
	if !x.front.options.Ingress.Hold(size) {
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.Busy, "too many large bodies at once")
	}
	x.heldBytes = size
	start, err := readPrefix(rest, size)
	if err == nil { // the body is longer than the buffer
		x.body.start = start
		return x.enableFullDuplex()
	}
	if !errors.Is(err, io.EOF) {
		return bodyRefusal(err)
	}
	x.body = &requestBody{start: start, trailers: len(x.r.Trailer) > 0}
	if err := x.control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return bodyRefusal(err)
	}
	return nil
}

// releaseBody returns the charge for the buffer of the body.
func (x *exchange) releaseBody() {
	x.front.options.Ingress.Release(x.heldBytes)
}

// prefixSize returns the size of the buffer for the beginning of a body.
func prefixSize(length int64) int64 {
	if length < 0 || length > maxBufferedBody {
		return maxBufferedBody
	}
	return length + 1
}

// readPrefix buffers the beginning of a body. It returns io.EOF if that is the complete body.
func readPrefix(r io.Reader, size int64) ([]byte, error) {
	buffer := make([]byte, size)
	n := 0
	for n < len(buffer) {
		m, err := r.Read(buffer[n:])
		n += m
		if err != nil {
			return buffer[:n], err
		}
	}
	return buffer, nil
}

// enableFullDuplex allows the response to be written while the body is still being read.
func (x *exchange) enableFullDuplex() *refusal.Refusal {
	if err := x.control.EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return bodyRefusal(err)
	}
	return nil
}

// interruptBody unblocks a pending Read of the caller's body.
func (x *exchange) interruptBody() {
	x.control.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // a connection without deadline support can't be interrupted
}

// boundedReader reads a caller's body and enforces the size limit and the minimum rate.
type boundedReader struct {
	x         *exchange
	length    int64
	remaining int64 // bytes until the size limit
	received  int64
	start     time.Time
	err       error // first error other than io.EOF
}

// Read reads with a deadline of HeaderTimeout plus the time that the bytes received so far may take at minBodyRate.
func (p *boundedReader) Read(buffer []byte) (int, error) {
	if p.remaining <= 0 {
		buffer = buffer[:1]
	}
	allowed := p.x.front.options.HeaderTimeout + time.Duration(p.received)*time.Second/minBodyRate
	if err := p.x.control.SetReadDeadline(p.start.Add(allowed)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, p.fail(err)
	}
	n, err := p.x.r.Body.Read(buffer)
	p.received += int64(n)
	p.remaining -= int64(n)
	if p.remaining < 0 {
		return 0, p.fail(errBodyTooLarge)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, p.fail(errBodyTooSlow)
	}
	if err != nil && err != io.EOF {
		return n, p.fail(err)
	}
	return n, err
}

func (p *boundedReader) fail(err error) error {
	if p.err == nil {
		p.err = err
	}
	return err
}
