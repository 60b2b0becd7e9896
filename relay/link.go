package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"daisyswitch/group"
	"daisyswitch/wire"

	"storj.io/drpc/drpcconn"
)

const (
	maxSilence     = time.Second     // of a relay, four readings of its clock, after which its link is closed; a lease of 3.5 s outlasts it
	defaultTimeout = 2 * time.Second // of a call whose context has no deadline
	sendQueue      = 256             // calls that wait to be sent to one relay
)

var (
	errLinkClosed = errors.New("the link to the relay was closed")
	errNoClock    = errors.New("the relay has not given its clock yet")
)

// link is the leader's stream to one relay. It carries many calls at a time.
type link struct {
	sinceBoot func() time.Duration
	calls     chan *wire.RelayCall
	closed    chan struct{} // closed when the link has failed or was closed
	closeOnce sync.Once
	running   group.Group

	mu      sync.Mutex
	number  uint64
	pending map[uint64]chan *wire.RelayReply
	heardAt time.Duration // when the relay was last heard, 0 before
	ahead   time.Duration // the relay's clock minus that of this process, at most
}

// open starts the stream on a connection.
func open(conn *drpcconn.Conn, sinceBoot func() time.Duration) (*link, error) {
	stream, err := wire.NewDRPCControlClient(conn).Relay(context.Background())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	l := &link{sinceBoot: sinceBoot, calls: make(chan *wire.RelayCall, sendQueue), closed: make(chan struct{}), pending: map[uint64]chan *wire.RelayReply{}}
	l.running.Go(func() { l.send(stream) })
	l.running.Go(func() { l.receive(stream) })
	l.running.Go(func() {
		<-l.closed
		_ = conn.Close() // waits for the stream; the calls have ended already
	})
	return l, nil
}

// fail marks the link as closed, which ends all calls in progress without an answer.
func (l *link) fail() {
	l.closeOnce.Do(func() { close(l.closed) })
}

// close closes the link and waits for its goroutines.
func (l *link) close() {
	l.fail()
	l.running.Wait()
}

func (l *link) send(stream wire.DRPCControl_RelayClient) {
	defer l.fail()
	for {
		select {
		case <-l.closed:
			return
		case c := <-l.calls:
			if stream.Send(c) != nil {
				return
			}
		}
	}
}

func (l *link) receive(stream wire.DRPCControl_RelayClient) {
	defer l.fail()
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		l.deliver(r)
	}
}

// deliver passes a reply to the call that waits for it and notes the relay's clock.
// The reply was delayed by the network, so that the estimate of the relay's clock is never ahead of it, and a call expires too early rather than too late.
func (l *link) deliver(r *wire.RelayReply) {
	now := l.sinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardAt = now
	l.ahead = time.Duration(r.GetClockMs())*time.Millisecond - now
	if waiting := l.pending[r.GetNumber()]; waiting != nil {
		waiting <- r // has room for one reply
		delete(l.pending, r.GetNumber())
	}
}

// usable reports whether the relay has been heard lately.
func (l *link) usable() bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heardAt != 0 && l.sinceBoot()-l.heardAt < maxSilence
}

// do sends a call and waits for its reply.
func (l *link) do(ctx context.Context, c *wire.RelayCall) (*wire.RelayReply, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	waiting := make(chan *wire.RelayReply, 1)
	if err := l.prepare(ctx, c, waiting); err != nil {
		return nil, err
	}
	defer l.forget(c.GetNumber())
	select {
	case l.calls <- c:
	case <-l.closed:
		return nil, errLinkClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case r := <-waiting:
		return r, nil
	case <-l.closed:
		return nil, errLinkClosed
	case <-ctx.Done():
		l.cancel(c.GetNumber())
		return nil, ctx.Err()
	}
}

// prepare gives a call its number and the time by the relay's clock when it expires.
func (l *link) prepare(ctx context.Context, c *wire.RelayCall, waiting chan *wire.RelayReply) error {
	timeout := defaultTimeout
	if deadline, limited := ctx.Deadline(); limited {
		timeout = time.Until(deadline)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heardAt == 0 {
		return errNoClock
	}
	l.number++
	c.Number = l.number
	c.ExpiresMs = (l.sinceBoot() + l.ahead + timeout).Milliseconds()
	l.pending[c.Number] = waiting
	return nil
}

func (l *link) forget(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, number)
}

// cancel tells the relay that nobody waits for a call anymore, unless the queue is full. The call expires there in any case.
func (l *link) cancel(number uint64) {
	select {
	case l.calls <- &wire.RelayCall{Number: number, Kind: wire.RelayCallKind_RELAY_CALL_KIND_CANCEL}:
	default:
	}
}
