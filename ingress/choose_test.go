package ingress

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConnectionToCloseIsIdleFirst guards against closing a connection whose request is handled, or an active one while another is idle or stalled.
func TestConnectionToCloseIsIdleFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &Listener{process: Default(), limit: 10, conns: map[*Conn]struct{}{}}
	add := func(phase int32, age, silent time.Duration, received int64) *Conn {
		c := &Conn{listener: l, opened: now.Add(-age)}
		c.phase.Store(phase)
		c.lastRead.Store(now.Add(-silent).UnixNano())
		c.received.Store(received)
		l.conns[c] = struct{}{}
		return c
	}
	add(phaseHandling, time.Hour, time.Hour, 0)
	add(phaseReading, stallTime/2, stallTime/2, 1) // too young to be judged
	add(phaseReading, silentTime/2, silentTime/2, 0)
	silent := add(phaseReading, 2*silentTime, 2*silentTime, 0)
	refused := add(phaseRefused, time.Second, 2*silentTime, 9)
	fast := add(phaseReading, 2*stallTime, 0, 1<<20)
	slow := add(phaseReading, 2*stallTime, 0, 2)
	stalled := add(phaseReading, 9*stallTime, 3*stallTime, 1<<20)
	longest := add(phaseReading, 9*stallTime, 8*stallTime, 1<<20)
	recent := add(phaseIdle, time.Hour, time.Millisecond, 1<<20)
	idle := add(phaseIdle, time.Hour, time.Second, 1<<20)
	for i, want := range []*Conn{idle, refused, recent, longest, stalled, silent, slow, fast, nil} {
		got, _ := l.choose(now)
		assert.Assert(t, got == want, "choice %d", i)
		delete(l.conns, got)
	}
	assert.Equal(t, len(l.conns), 3)
}

// TestClosedConnectionDoesNotReachTheHandler guards against a request that runs although its connection was chosen to be closed.
func TestClosedConnectionDoesNotReachTheHandler(t *testing.T) {
	p := New(Limits{Connections: 1})
	l := p.Listen(nil, AllConnections)
	ours, _ := net.Pipe()
	c := l.admit(&addressed{ours}, time.Unix(1000, 0))
	other, _ := net.Pipe()
	assert.Assert(t, l.admit(&addressed{other}, time.Unix(1002, 0)) != nil)
	assert.Assert(t, !c.handle())
	assert.Equal(t, len(l.conns), 1)
}

// addressed is a pipe with an address, as a network connection has.
type addressed struct{ net.Conn }

func (*addressed) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// TestNoLimitIsReachedByLegalRequests guards against defaults that refuse a single request within the promised limits on the smallest machine.
func TestNoLimitIsReachedByLegalRequests(t *testing.T) {
	for _, c := range []struct{ memoryMB, maxFDs, connections int64 }{{0, 4096, 1500}, {184, 4096, 1500}, {408, 4100, 1900}} {
		l := LimitsFor(c.memoryMB, c.maxFDs)
		assert.Assert(t, int64(l.Connections) >= c.connections, "%+v", l)
		assert.Assert(t, l.OneDecoding >= maxDecodeFactor*262144, "%+v", l)
		assert.Assert(t, l.OneDecoding >= 4<<20*bodyByteCost+4<<20/64*objectCost, "%+v", l)
	}
	assert.Assert(t, LimitsFor(408, 4100).Soft <= 408<<20*3/4)
}
