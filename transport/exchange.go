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

// Request is one request on its way to an upstream.
type Request struct {
	*http.Request
	Idempotent bool
	Fresh      bool                             // rides on no connection that was idle, as a request that is not idempotent never does
	Stream     bool                             // the body comes from the caller as it is sent
	Informed   func(code int, head http.Header) // receives 1xx answers, may be nil
	Interrupt  func()                           // ends a Read of a streamed body
	GiveUp     func() bool                      // says whether an idempotent request on a silent connection may be sent elsewhere; nil: it may
}

// Answer is an upstream's answer; Close must be called, and keeps the connection only if all of it was read.
type Answer struct {
	*http.Response
	pool      *Pool
	conn      *conn
	sender    group.Group
	sent      chan error // result of sending a streamed body
	interrupt func()
	stop      func() bool
	whole     bool
}

// Do writes the request once to one connection and returns the head of the answer.
// Its errors are *verdict.Error: NotRun if no byte was written, else Unknown.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.take(ctx, r.Fresh || !r.Idempotent)
	if err != nil {
		return nil, err
	}
	c.written = 0
	a := &Answer{pool: p, conn: c, interrupt: r.Interrupt}
	a.stop = context.AfterFunc(ctx, func() { c.SetDeadline(past) }) //nolint:errcheck // a closed connection needs no interrupt
	err = a.begin(r)
	if err == nil || c.written > 0 || r.Stream {
		err = errors.Join(err, a.receive(ctx, r))
	}
	if a.Response != nil {
		return a, nil
	}
	a.abandon()
	if c.written == 0 {
		return nil, verdict.New(verdict.NotRun, "nothing could be sent to the upstream", err)
	}
	return nil, verdict.New(verdict.Unknown, "upstream gave no answer", err)
}

// begin sends the request, a streamed one beside the reading of its answer.
func (a *Answer) begin(r *Request) error {
	if !r.Stream {
		return a.conn.send(r.Request)
	}
	a.sent = make(chan error, 1)
	source := &source{ReadCloser: r.Body}
	r.Body = source
	a.sender.Go(func() {
		err := a.conn.send(r.Request)
		if source.broken {
			a.conn.SetDeadline(past) //nolint:errcheck // a closed connection needs no interrupt
		}
		a.sent <- err
	})
	return nil
}

// receive reads heads until one is final.
func (a *Answer) receive(ctx context.Context, r *Request) error {
	if err := a.awaitFirstByte(ctx, r); err != nil {
		return err
	}
	for {
		a.conn.limited.N = a.conn.bytes
		resp, err := http.ReadResponse(a.conn.reader, r.Request) //nolint:bodyclose // Close drops the connection under it
		if err != nil {
			return err
		}
		a.conn.limited.N = math.MaxInt64
		if resp.StatusCode >= http.StatusOK {
			a.Response = resp
			resp.Body = &body{ReadCloser: resp.Body, answer: a}
			return nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return errors.New("upstream switched protocols unasked")
		}
		if r.Informed != nil && resp.StatusCode != http.StatusContinue {
			r.Informed(resp.StatusCode, resp.Header)
		}
	}
}

// abandon closes the connection, so that no late answer can meet another request.
func (a *Answer) abandon() {
	a.stop()
	a.pool.drop(a.conn)
	if a.sent != nil && a.interrupt != nil {
		a.interrupt()
	}
	a.sender.Wait()
}

// Close keeps the connection if both request and answer are whole, and closes it otherwise.
func (a *Answer) Close() {
	if !a.reusable() || !a.stop() {
		a.abandon()
		return
	}
	a.pool.put(a.conn)
}

// Paused reports whether the upstream has sent no more than was read.
func (a *Answer) Paused() bool {
	return a.conn.reader.Buffered() == 0
}

func (a *Answer) reusable() bool {
	if !a.whole || a.Response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.sent == nil {
		return true
	}
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}

// body notes whether the answer was read to its end.
type body struct {
	io.ReadCloser
	answer *Answer
}

// Read reads the answer's body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.answer.whole = true
	}
	return n, err
}

// source notes whether a streamed body broke off, after which no answer is waited for.
type source struct {
	io.ReadCloser
	broken bool
}

// Read reads the caller's body.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		s.broken = true
	}
	return n, err
}
