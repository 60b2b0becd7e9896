package transport

import (
	"context"
	"errors"
	"os"
	"time"
)

// ErrFirstByteTimeout is the cause of an error when a reused connection delivered no byte in time and was abandoned.
var ErrFirstByteTimeout = errors.New("reused connection delivered no byte within the first-byte timeout")

// firstByteExtension is the factor by which the wait for the first byte is extended while other old connections to the upstream deliver bytes.
// In that case the response is probably slow, and the network path has not dropped the state of its connections.
const firstByteExtension = 2

// awaitFirstByte waits a limited time for the first byte of a response on a reused connection.
func (a *Answer) awaitFirstByte(ctx context.Context, r *Request) error {
	c := a.conn
	if !c.reused || r.Stream {
		return nil
	}
	start := time.Now()
	timedOut, err := a.timedOut(start, a.pool.options.FirstByteTimeout)
	if timedOut && a.pool.activeSince(start) {
		timedOut, err = a.timedOut(start, firstByteExtension*a.pool.options.FirstByteTimeout)
	}
	if err != nil {
		return err
	}
	if timedOut && ctx.Err() == nil {
		a.pool.closeIdleBefore(start)
		if r.Idempotent && (r.MayRetryElsewhere == nil || r.MayRetryElsewhere()) {
			return ErrFirstByteTimeout
		}
	}
	if !timedOut {
		a.pool.recordActivity(c, time.Now())
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return ctx.Err() // the line above may have undone an interrupt
}

// timedOut reports whether no byte arrived until bound after start. Other read errors are left to the caller, which meets them when it reads the response.
func (a *Answer) timedOut(start time.Time, bound time.Duration) (bool, error) {
	if err := a.conn.SetReadDeadline(start.Add(bound)); err != nil {
		return false, err
	}
	_, err := a.conn.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded), nil
}

// recordActivity records the time if a connection older than the first-byte timeout has delivered a byte.
func (p *Pool) recordActivity(c *conn, now time.Time) {
	if now.Sub(c.dialedAt) > p.options.FirstByteTimeout {
		p.lastActivity.Store(now.UnixNano())
	}
}

// activeSince reports whether an old connection has delivered a byte since start.
func (p *Pool) activeSince(start time.Time) bool {
	return p.lastActivity.Load() > start.UnixNano()
}

// closeIdleBefore closes the connections that have been idle since before the given time, because another one on the same path stopped responding.
func (p *Pool) closeIdleBefore(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && p.idle[0].idleSince.Before(since) {
		p.closeOldest()
	}
}
