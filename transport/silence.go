package transport

import (
	"context"
	"errors"
	"os"
	"time"
)

// ErrSilent is the cause when a reused connection gave no byte in time and was given up.
var ErrSilent = errors.New("connection went silent")

// patience is how many times longer the first byte may take while other old connections to the upstream show life,
// which tells of a slow answer rather than of a path that has lost track of its connections.
const patience = 2

// awaitFirstByte bounds the silence of a reused connection.
func (a *Answer) awaitFirstByte(ctx context.Context, r *Request) error {
	c := a.conn
	if !c.reused || r.Stream {
		return nil
	}
	start := time.Now()
	silent, err := a.silent(start, a.pool.options.FirstByte)
	if silent && a.pool.aliveSince(start) {
		silent, err = a.silent(start, patience*a.pool.options.FirstByte)
	}
	if err != nil {
		return err
	}
	if silent && ctx.Err() == nil {
		a.pool.suspect(start)
		if r.Idempotent && (r.GiveUp == nil || r.GiveUp()) {
			return ErrSilent
		}
	}
	if !silent {
		a.pool.prove(c, time.Now())
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return ctx.Err() // an interrupt may have been undone by the line above
}

// silent reports whether no byte came until bound after start; other failures are left to the reading of the answer.
func (a *Answer) silent(start time.Time, bound time.Duration) (bool, error) {
	if err := a.conn.SetReadDeadline(start.Add(bound)); err != nil {
		return false, err
	}
	_, err := a.conn.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded), nil
}

// prove notes life on a connection that was dialled at least FirstByte ago.
func (p *Pool) prove(c *conn, now time.Time) {
	if now.Sub(c.dialled) > p.options.FirstByte {
		p.proven.Store(now.UnixNano())
	}
}

// aliveSince reports whether a connection dialled before start has shown life since.
func (p *Pool) aliveSince(start time.Time) bool {
	return p.proven.Load() > start.UnixNano()
}

// suspect closes the idle connections that have shown no life since the given time, because another of the same path went silent.
func (p *Pool) suspect(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && p.idle[0].quiet.Before(since) {
		p.closeOldest()
	}
}
