package descriptor

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"daisyswitch/event"
)

// ErrNoneFree reports that a connection was not opened because all that are allowed are in use.
var ErrNoneFree = errors.New("all connections allowed for this purpose are in use")

// reportInterval is the shortest time between two reports of a limiter at its limit.
const reportInterval = 10 * time.Second

// Limiter bounds the connections that are open at the same time.
type Limiter struct {
	Shed func() // closes connections that are idle

	purpose  string
	wait     time.Duration
	free     chan struct{}
	shed     atomic.Int64
	mu       sync.Mutex
	reported time.Time
}

// NewLimiter returns a limiter for connections of the given purpose. At the limit, a new connection waits for another to be closed, for the given time at most.
func NewLimiter(purpose string, limit int, wait time.Duration) *Limiter {
	l := &Limiter{purpose: purpose, wait: wait, free: make(chan struct{}, limit)}
	for range limit {
		l.free <- struct{}{}
	}
	return l
}

// InUse returns the number of connections that are open or being opened.
func (l *Limiter) InUse() int { return cap(l.free) - len(l.free) }

// Sheds returns how often idle connections were closed because of the limit.
func (l *Limiter) Sheds() int64 { return l.shed.Load() }

// Open opens a connection with dial. At the limit, it has idle ones closed first, and then waits for one that is in use.
func (l *Limiter) Open(ctx context.Context, dial func() (net.Conn, error)) (net.Conn, error) {
	if err := l.acquire(ctx); err != nil {
		return nil, err
	}
	raw, err := dial()
	if err != nil {
		l.free <- struct{}{}
		return nil, err
	}
	return &counted{Conn: raw, release: sync.OnceFunc(func() { l.free <- struct{}{} })}, nil
}

func (l *Limiter) acquire(ctx context.Context) error {
	select {
	case <-l.free:
		return nil
	default:
	}
	l.shed.Add(1)
	l.Shed()
	l.report()
	timer := time.NewTimer(l.wait)
	defer timer.Stop()
	select {
	case <-l.free:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return ErrNoneFree
	}
}

func (l *Limiter) report() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.reported.IsZero() || now.Sub(l.reported) >= reportInterval {
		l.reported = now
		event.ConnectionsAtLimit.Info("purpose", l.purpose, "limit", cap(l.free), "closed_idle", l.shed.Load())
	}
}

// counted releases its place when it is closed.
type counted struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *counted) Close() error {
	defer c.release()
	return c.Conn.Close()
}
