package ingress

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Handler returns a handler that reads each body completely, within the budgets, before next is called. Bodies above maxBody bytes are refused.
func (p *Process) Handler(next http.Handler, maxBody int64) http.Handler {
	return &handler{process: p, next: next, maxBody: maxBody}
}

// Track returns a handler that reads bodies itself and charges what it keeps with Hold.
func (p *Process) Track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		c.begin()
		defer c.end()
		if !c.handle() {
			panic(http.ErrAbortHandler) // closed for another connection; nothing has run
		}
		next.ServeHTTP(w, r)
	})
}

// Hold charges the budget for reading with a buffer beyond the free share of a request. If it returns true, Release must be called with the same size.
func (p *Process) Hold(size int64) bool {
	if size > freeBodyBytes && !p.reading.take(size) {
		p.count(causeMemory, "")
		return false
	}
	return true
}

// Release returns what Hold has charged.
func (p *Process) Release(size int64) {
	if size > freeBodyBytes {
		p.reading.release(size)
	}
}

type handler struct {
	process *Process
	next    http.Handler
	maxBody int64
}

// ServeHTTP reads the body and calls the next handler, or refuses the request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	c.begin()
	defer c.end()
	if c != nil {
		c.timed.Store(true)
	}
	if r.Body == nil || r.Body == http.NoBody {
		h.pass(w, r, c)
		return
	}
	reader := bodyReader{handler: h, r: r, conn: c}
	defer reader.release()
	why := reader.read()
	if why == "" {
		why = reader.chargeDecoding()
	}
	if why != "" {
		h.refuse(w, r, &reader, why)
		return
	}
	b := &Body{bytes: reader.buffer}
	b.Reset(b.bytes)
	r.Body = b
	h.pass(w, r, c)
}

func (h *handler) pass(w http.ResponseWriter, r *http.Request, c *Conn) {
	if !c.handle() {
		panic(http.ErrAbortHandler) // closed for another connection; nothing has run
	}
	h.next.ServeHTTP(w, r)
}

// Body is a request's body that has been read.
type Body struct {
	bytes.Reader
	bytes []byte
}

// Close does nothing.
func (b *Body) Close() error { return nil }

// Bytes returns a request's whole body if a Handler has read it. The caller may keep it.
func Bytes(r *http.Request) ([]byte, bool) {
	b, ok := r.Body.(*Body)
	if !ok {
		return nil, false
	}
	return b.bytes, true
}

// refusals holds the status and the reason of each refusal of a request.
var refusals = map[cause]struct {
	status int
	reason string
}{
	causeTooLarge:   {http.StatusRequestEntityTooLarge, "the body exceeds the size limit"},
	causeCostly:     {http.StatusRequestEntityTooLarge, "decoding the body takes more memory than there is"},
	causeFraming:    {http.StatusRequestEntityTooLarge, "the body has too much chunk framing"},
	causeSlow:       {http.StatusRequestTimeout, "the body arrived too slowly"},
	causeIncomplete: {http.StatusBadRequest, "the body is incomplete or malformed"},
	causeMemory:     {http.StatusServiceUnavailable, "too many large bodies at once"},
}

// refusedBody is the body of a refusal, with the fields that each kind of client reads.
type refusedBody struct {
	Error   string `json:"error"`
	Reason  string `json:"reason"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

// refuse answers a request that has not run, and closes the connection.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, b *bodyReader, why cause) {
	h.process.count(why, r.RemoteAddr)
	defer b.conn.refuse()
	answer := refusals[why]
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "application/json")
	if answer.status == http.StatusServiceUnavailable || answer.status == http.StatusRequestTimeout {
		w.Header().Set("Retry-After", "1")
	}
	b.setDeadline(time.Now().Add(discardTime))
	w.WriteHeader(answer.status)
	json.NewEncoder(w).Encode(&refusedBody{answer.reason, answer.reason, string(why), "not-run"}) //nolint:errcheck // a client that has left needs no answer
}

// bodyReader reads one body into memory. It holds charges for the buffer and for decoding.
type bodyReader struct {
	handler  *handler
	r        *http.Request
	conn     *Conn
	buffer   []byte
	charged  int64 // of reading
	decoding int64
}

// read fills the buffer, which grows with what has arrived and not with what was announced. It returns why the request is refused, "" if it is not.
func (b *bodyReader) read() cause {
	length, most := b.r.ContentLength, b.handler.maxBody
	if length > most {
		return causeTooLarge
	}
	size := int64(freeBodyBytes)
	if length >= 0 {
		size = min(size, length)
	}
	if length > freeBodyBytes && b.r.Header.Get("Expect") != "" { // the first read asks the client for the body
		if size = length; !b.handler.process.reading.take(size) {
			return causeMemory
		}
		b.charged = size
	}
	b.buffer = make([]byte, 0, max(size, 1))
	start, extended := time.Now(), 0
	var wireStart int64
	if b.conn != nil {
		wireStart = b.conn.received.Load()
	}
	b.setDeadline(start.Add(bodyStartTime))
	for {
		if len(b.buffer) == cap(b.buffer) {
			if int64(len(b.buffer)) > most {
				return causeTooLarge
			}
			if !b.grow() {
				return causeMemory
			}
		}
		n, err := b.r.Body.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		switch {
		case errors.Is(err, io.EOF) && int64(len(b.buffer)) > most:
			return causeTooLarge
		case errors.Is(err, io.EOF):
			b.setDeadline(time.Time{})
			return ""
		case errors.Is(err, os.ErrDeadlineExceeded):
			return causeSlow
		case err != nil:
			return causeIncomplete
		}
		if length < 0 && b.conn != nil && b.conn.received.Load()-wireStart > maxFramingRate*int64(len(b.buffer))+framingAllowed {
			return causeFraming
		}
		if len(b.buffer)-extended >= rateStep {
			extended = len(b.buffer)
			b.setDeadline(start.Add(bodyStartTime + time.Duration(extended)*time.Second/minBodyRate))
		}
	}
}

// grow doubles the buffer, up to the body's length or one byte more than is allowed. While it is copied, both buffers are charged.
func (b *bodyReader) grow() bool {
	size := min(2*int64(cap(b.buffer)), b.handler.maxBody+1)
	if b.r.ContentLength >= 0 {
		size = min(size, max(b.r.ContentLength, int64(cap(b.buffer))+1))
	}
	if !b.handler.process.reading.take(size) {
		return false
	}
	larger := make([]byte, len(b.buffer), size)
	copy(larger, b.buffer)
	b.buffer = larger
	if b.charged > 0 {
		b.handler.process.reading.release(b.charged)
	}
	b.charged = size
	return true
}

// chargeDecoding charges the estimated memory for decoding the body. A body of objects takes up to 200 times its size.
func (b *bodyReader) chargeDecoding() cause {
	cost := decodingCost(b.buffer)
	if cost <= freeDecodeCost {
		return ""
	}
	if cost > min(b.handler.process.limits.OneDecoding, maxDecodeFactor*b.handler.maxBody) {
		return causeCostly
	}
	if !b.handler.process.decoding.take(cost) {
		return causeMemory
	}
	b.decoding = cost
	return ""
}

func decodingCost(body []byte) int64 {
	return bodyByteCost*int64(len(body)) + objectCost*int64(bytes.Count(body, []byte{'{'})) + elementCost*int64(bytes.Count(body, []byte{','}))
}

func (b *bodyReader) release() {
	if b.charged > 0 {
		b.handler.process.reading.release(b.charged)
	}
	if b.decoding > 0 {
		b.handler.process.decoding.release(b.decoding)
	}
}

// setDeadline sets the deadline for reading. A writer without a connection, as in tests, has none.
func (b *bodyReader) setDeadline(at time.Time) {
	if b.conn != nil {
		b.conn.SetReadDeadline(at) //nolint:errcheck // a closed connection fails the next read
	}
}
