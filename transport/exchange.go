package transport

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"

	"daisyswitch/group"
	"daisyswitch/verdict"
)

// Request is a request to an upstream.
type Request struct {
	*http.Request
	Idempotent        bool
	Fresh             bool                             // requires a connection that is new or was just in use, as every non-idempotent request does
	Stream            bool                             // the body is read from the caller while it is sent
	OnInformational   func(code int, head http.Header) // receives 1xx responses, may be nil
	Interrupt         func()                           // unblocks a pending Read of a streamed body
	MayRetryElsewhere func() bool                      // reports whether an idempotent request on an unresponsive connection may be sent elsewhere; nil means yes
}

// Answer is an upstream's response. Close must be called; it keeps the connection only if the response was read completely.
type Answer struct {
	*http.Response
	pool          *Pool
	conn          *conn
	sender        group.Group
	sendResult    chan error // result of sending a streamed body
	interrupt     func()
	stopInterrupt func() bool
	complete      bool
}

// Do writes the request at most once, to one connection, and returns the head of the response.
// Its errors are of type *verdict.Error: NotRun if no byte was written, else Unknown.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.acquire(ctx, r.Fresh || !r.Idempotent)
	if err != nil {
		return nil, err
	}
	c.written = 0
	a := &Answer{pool: p, conn: c, interrupt: r.Interrupt}
	a.stopInterrupt = context.AfterFunc(ctx, func() { c.SetDeadline(expiredDeadline) }) //nolint:errcheck // a closed connection needs no interrupt
	err = a.startSend(r)
	if err == nil || c.written > 0 || r.Stream {
		err = errors.Join(err, a.readHead(ctx, r))
	}
	if a.Response != nil {
		return a, nil
	}
	a.closeConn()
	if c.written == 0 {
		return nil, verdict.New(verdict.NotRun, "no part of the request could be sent to the upstream", err)
	}
	return nil, verdict.New(verdict.Unknown, "the upstream sent no response", err)
}

// startSend sends the request. A streamed one is sent in the background while its response is read.
func (a *Answer) startSend(r *Request) error {
	if !r.Stream {
		return a.conn.send(r.Request)
	}
	a.sendResult = make(chan error, 1)
	callerBody := &callerBody{ReadCloser: r.Body}
	r.Body = callerBody
	a.sender.Go(func() {
		err := a.conn.send(r.Request)
		if callerBody.failed {
			a.conn.SetDeadline(expiredDeadline) //nolint:errcheck // a closed connection needs no interrupt
		}
		a.sendResult <- err
	})
	return nil
}

// readHead reads response heads until one is final, and relays 1xx responses.
func (a *Answer) readHead(ctx context.Context, r *Request) error {
	if err := a.awaitFirstByte(ctx, r); err != nil {
		return err
	}
	for {
		a.conn.limited.N = a.conn.maxHeadBytes
		resp, err := http.ReadResponse(a.conn.reader, r.Request) //nolint:bodyclose // Close closes the connection itself
		if err != nil {
			return err
		}
		a.conn.limited.N = math.MaxInt64
		if resp.StatusCode >= http.StatusOK {
			a.Response = resp
			resp.Body = &responseBody{ReadCloser: resp.Body, answer: a}
			return nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return errors.New("unsolicited status 101 (switching protocols) from the upstream")
		}
		if r.OnInformational != nil && resp.StatusCode != http.StatusContinue {
			r.OnInformational(resp.StatusCode, resp.Header)
		}
	}
}

// closeConn closes the connection, so that a late response is never taken for that of another request.
func (a *Answer) closeConn() {
	a.stopInterrupt()
	a.pool.discard(a.conn)
	if a.sendResult != nil && a.interrupt != nil {
		a.interrupt()
	}
	a.sender.Wait()
}

// Close returns the connection to the pool if both request and response are complete, and closes it otherwise.
func (a *Answer) Close() {
	if !a.reusable() || !a.stopInterrupt() {
		a.closeConn()
		return
	}
	a.pool.returnIdle(a.conn)
}

// Paused reports whether no received bytes are left to read.
func (a *Answer) Paused() bool {
	return a.conn.reader.Buffered() == 0
}

func (a *Answer) reusable() bool {
	if !a.complete || a.Response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.sendResult == nil {
		return true
	}
	select {
	case err := <-a.sendResult:
		return err == nil
	default:
		return false
	}
}

// responseBody records whether the response was read to its end.
type responseBody struct {
	io.ReadCloser
	answer *Answer
}

// Read reads the response body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.answer.complete = true
	}
	return n, err
}

// callerBody records whether reading a streamed body failed, after which no response is awaited.
type callerBody struct {
	io.ReadCloser
	failed bool
}

// Read reads the caller's request body.
func (s *callerBody) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		s.failed = true
	}
	return n, err
}
