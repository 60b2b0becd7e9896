package ingress

import (
	"net"
	"sync"
	"time"
)

// Listener bounds the open connections of one listening address.
type Listener struct {
	net.Listener
	process *Process
	limit   int

	mu      sync.Mutex
	conns   map[*Conn]struct{}
	busyFor time.Time // until which no connection can be closed for a new one
}

// AllConnections is the share, in eighths, of a process's only address for clients.
const AllConnections = 8

// Listen wraps the listener of an address for clients, which gets a share of the process's connections in eighths.
func (p *Process) Listen(l net.Listener, eighths int) *Listener {
	return &Listener{Listener: l, process: p, limit: max(1, p.limits.Connections*eighths/AllConnections), conns: map[*Conn]struct{}{}}
}

// ListenReserved wraps the listener of an address for health checks and metrics, which has connections of its own.
func (p *Process) ListenReserved(l net.Listener) *Listener {
	return &Listener{Listener: l, process: p, limit: reservedClients, conns: map[*Conn]struct{}{}}
}

// Accept waits for a connection that may stay open.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw, time.Now()); c != nil {
			return c, nil
		}
	}
}

// Times in the choice of the connection to close for a new one.
const (
	stallTime   = time.Second            // without a byte, after which a connection counts as stalled
	silentTime  = 250 * time.Millisecond // after which a connection counts as stalled that has never sent a byte; a round trip, and half the time for a refusal
	retryToFind = 100 * time.Millisecond // between searches while none is found
)

// admit returns the connection, or nil if it was refused. At the limit it closes an idle connection first, then the one with the least progress.
func (l *Listener) admit(raw net.Conn, now time.Time) *Conn {
	c := &Conn{Conn: raw, listener: l, opened: now}
	c.lastRead.Store(now.UnixNano())
	l.mu.Lock()
	full := len(l.conns) >= l.limit
	var victim *Conn
	var why cause
	if full && !now.Before(l.busyFor) {
		if victim, why = l.choose(now); victim == nil {
			l.busyFor = now.Add(retryToFind)
		}
	}
	if victim != nil {
		delete(l.conns, victim)
	}
	if !full || victim != nil {
		l.conns[c] = struct{}{}
	}
	l.mu.Unlock()
	if victim != nil {
		l.process.count(why, victim.RemoteAddr().String())
		victim.Close() //nolint:errcheck // the client is cut off in any case
	}
	if full && victim == nil {
		l.process.count(causeFull, raw.RemoteAddr().String())
		raw.Write(refusedRaw) //nolint:errcheck // the client is refused in any case
		raw.Close()
		return nil
	}
	return c
}

// choose returns the connection to close for a new one, nil if none: the one idle or refused for longest, else the one with the lowest rate of those that have been open or without a byte for stallTime.
// It never chooses a connection whose request has reached its handler.
func (l *Listener) choose(now time.Time) (*Conn, cause) {
	for {
		var idle, least *Conn
		var idleSince int64
		var leastRate float64
		for c := range l.conns {
			last := c.lastRead.Load()
			age := now.Sub(c.opened)
			switch phase := c.phase.Load(); {
			case phase == phaseIdle, phase == phaseRefused && now.UnixNano()-last >= int64(silentTime):
				if idle == nil || last < idleSince {
					idle, idleSince = c, last
				}
			case phase == phaseReading && (age >= stallTime || age >= silentTime && c.received.Load() == 0):
				rate := float64(c.received.Load()) / age.Seconds()
				if now.UnixNano()-last >= int64(stallTime) {
					rate = -float64(now.UnixNano() - last) // stalled: the longest first
				}
				if least == nil || rate < leastRate {
					least, leastRate = c, rate
				}
			}
		}
		switch {
		case idle != nil && (idle.phase.CompareAndSwap(phaseIdle, phaseClosing) || idle.phase.CompareAndSwap(phaseRefused, phaseClosing)):
			return idle, causeIdle
		case idle != nil: // a request has just begun on it
		case least != nil && least.phase.CompareAndSwap(phaseReading, phaseClosing):
			return least, causeProgress
		case least == nil:
			return nil, ""
		}
	}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
