package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"daisyswitch/group"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
)

var (
	errReplicaTimeout = errors.New("no reply from the replica within 750 ms")
	errLinkClosed     = errors.New("the connection to the replica was closed")
)

// link is a stream to a replica that is, or may be, the leader.
type link struct {
	gateway *Gateway
	address string
	conn    *drpcconn.Conn
	stream  wire.DRPCControl_WorkflowsClient
	cancel  context.CancelFunc
	tasks   group.Group
	ended   chan struct{} // closed when the receiver has stopped

	sendMu sync.Mutex // serializes sends on the stream; locked before mu

	mu        sync.Mutex // guards the fields below
	waiting   map[uint64]chan *wire.WorkflowReply
	lastReply time.Time
	err       error
}

func newLink(ctx context.Context, gateway *Gateway, address string) (*link, error) {
	conn, err := gateway.pool.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l := &link{gateway: gateway, address: address, conn: conn, ended: make(chan struct{}), waiting: map[uint64]chan *wire.WorkflowReply{}, lastReply: time.Now()}
	streamCtx, cancel := context.WithCancel(gateway.ctx)
	l.cancel = cancel
	l.stream, err = wire.NewDRPCControlClient(conn).Workflows(streamCtx)
	if err != nil {
		cancel()
		conn.Close()
		return nil, err
	}
	l.tasks.Go(l.receive)
	return l, nil
}

// close closes the link without waiting for the receiver, which stops as a result.
func (l *link) close() {
	l.cancel()
	l.conn.Close()
}

func (l *link) receive() {
	defer close(l.ended)
	for {
		reply, err := l.stream.Recv()
		l.mu.Lock()
		if err != nil {
			l.err = err
			l.mu.Unlock()
			return
		}
		l.lastReply = time.Now()
		answer := l.waiting[reply.GetNumber()]
		delete(l.waiting, reply.GetNumber())
		l.mu.Unlock()
		if answer != nil {
			answer <- reply
		}
	}
}

// run sends heartbeats until the link fails, and returns the cause.
func (l *link) run() error {
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	defer l.close()
	for {
		select {
		case <-l.ended:
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.err
		case <-l.gateway.ctx.Done():
			return l.gateway.ctx.Err()
		case <-ticker.C:
		}
		if l.sinceLastReply() > helloTimeout {
			return errReplicaTimeout
		}
		l.gateway.tasks.Go(l.checkLeadership)
	}
}

// checkLeadership sends a heartbeat and drops the link if the replica is no longer the leader.
func (l *link) checkLeadership() {
	ctx, cancel := context.WithTimeout(l.gateway.ctx, helloTimeout)
	defer cancel()
	reply, err := l.hello(ctx)
	if err != nil {
		return
	}
	l.gateway.updateReplicas(reply)
	if reply.GetAnswer() != wire.WorkflowAnswer_WORKFLOW_ANSWER_OK {
		l.gateway.dropLink(l, reply.GetFailure().GetLeader())
	}
}

func (l *link) sinceLastReply() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastReply)
}

func (l *link) hello(ctx context.Context) (*wire.WorkflowReply, error) {
	return l.do(ctx, &wire.WorkflowRequest{Kind: wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_HELLO})
}

// do sends a request and waits for its answer.
func (l *link) do(ctx context.Context, request *wire.WorkflowRequest) (*wire.WorkflowReply, error) {
	request = proto.CloneOf(request)
	request.Number = l.gateway.nextNumber()
	answer := make(chan *wire.WorkflowReply, 1)
	l.mu.Lock()
	l.waiting[request.Number] = answer
	l.mu.Unlock()
	defer l.forget(request.Number)
	if err := l.send(request); err != nil {
		return nil, verdict.New(verdict.Unknown, "sending the request failed, part of it may have been sent", err)
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-l.ended:
		return nil, verdict.New(verdict.Unknown, "no answer from "+l.address, errLinkClosed)
	case <-ctx.Done():
		return nil, verdict.New(verdict.Unknown, "no answer from "+l.address, ctx.Err())
	}
}

func (l *link) send(request *wire.WorkflowRequest) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.stream.Send(request)
}

func (l *link) forget(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}
