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
	bufferedBody = 64 << 10 // bytes of a body that are read before a slot is taken
	minBodyRate  = 16 << 10 // bytes a second that a caller must send after the first HeaderTimeout
)

var (
	errTooLarge = errors.New("body is too large")
	errSlow     = errors.New("body is sent too slowly")
)

// requestBody is a caller's body: its beginning in memory, and the rest as it comes.
type requestBody struct {
	start    []byte
	rest     *pacedReader // nil when start is all of it
	trailers bool
	used     bool // rest was given to an attempt
}

// whole reports whether nothing of the body is left with the caller.
func (b *requestBody) whole() bool {
	return b.rest == nil
}

func (b *requestBody) streamed() bool {
	return b.rest != nil
}

// replayable reports whether the body can be sent from its beginning.
func (b *requestBody) replayable() bool {
	return b.rest == nil || !b.used
}

// reader returns the body and its length, -1 if that is not known.
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
	b.used = true
	return io.NopCloser(io.MultiReader(start, b.rest)), b.rest.length
}

// fault returns the caller's own fault in a streamed body, or nil.
func (b *requestBody) fault() *refusal.Refusal {
	if b.rest == nil || b.rest.err == nil {
		return nil
	}
	f := bodyRefusal(b.rest.err)
	f.Verdict = "unknown" // a part of it was sent
	return f
}

func bodyRefusal(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, errTooLarge):
		return refusal.NotRun(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, err.Error())
	case errors.Is(err, errSlow):
		return refusal.NotRun(http.StatusRequestTimeout, refusal.SlowCaller, err.Error())
	default:
		return refusal.NotRun(http.StatusBadRequest, refusal.BadRequest, "body is incomplete or malformed")
	}
}

// readBody reads the body, or the beginning of a long one.
func (x *exchange) readBody() *refusal.Refusal {
	x.body = &requestBody{}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	limit := x.front.options.BodyBytes
	rest := &pacedReader{x: x, length: x.r.ContentLength, left: limit, start: time.Now()}
	x.body.rest = rest
	if x.r.ContentLength > limit {
		return bodyRefusal(errTooLarge)
	}
	start, err := readStart(rest, x.r.ContentLength)
	if err == nil { // there is more
		x.body.start = start
		return x.stream()
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

// readStart reads up to bufferedBody bytes; io.EOF says that they are all.
func readStart(r io.Reader, length int64) ([]byte, error) {
	size := length + 1
	if length < 0 || length > bufferedBody {
		size = bufferedBody
	}
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

// stream prepares for answering while the body is still coming.
func (x *exchange) stream() *refusal.Refusal {
	if err := x.control.EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return bodyRefusal(err)
	}
	return nil
}

// interruptBody ends a Read of the caller's body.
func (x *exchange) interruptBody() {
	x.control.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // without deadlines there is nothing to interrupt
}

// pacedReader reads a caller's body, bounds it, and gives a slow caller up.
type pacedReader struct {
	x      *exchange
	length int64
	left   int64 // bytes that may still come
	read   int64
	start  time.Time
	err    error // first error but io.EOF
}

// Read reads from the caller within the time that the bytes so far allow.
func (p *pacedReader) Read(buffer []byte) (int, error) {
	if p.left <= 0 {
		buffer = buffer[:1]
	}
	allowed := p.x.front.options.HeaderTimeout + time.Duration(p.read)*time.Second/minBodyRate
	if err := p.x.control.SetReadDeadline(p.start.Add(allowed)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, p.fail(err)
	}
	n, err := p.x.r.Body.Read(buffer)
	p.read += int64(n)
	p.left -= int64(n)
	if p.left < 0 {
		return 0, p.fail(errTooLarge)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, p.fail(errSlow)
	}
	if err != nil && err != io.EOF {
		return n, p.fail(err)
	}
	return n, err
}

func (p *pacedReader) fail(err error) error {
	if p.err == nil {
		p.err = err
	}
	return err
}
