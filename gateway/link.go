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
	errSilent = errors.New("the replica has fallen silent")
	errEnded  = errors.New("the connection to the replica has ended")
)

// link is one stream to a replica that led when it was opened.
type link struct {
	g       *Gateway
	address string
	conn    *drpcconn.Conn
	stream  wire.DRPCControl_WorkflowsClient
	cancel  context.CancelFunc
	tasks   group.Group
	ended   chan struct{} // closed when nothing more is received

	sending sync.Mutex // one request at a time; taken before mu

	mu      sync.Mutex // guards what follows
	waiting map[uint64]chan *wire.WorkflowReply
	heard   time.Time
	err     error
}

func newLink(ctx context.Context, g *Gateway, address string) (*link, error) {
	conn, err := g.pool.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l := &link{g: g, address: address, conn: conn, ended: make(chan struct{}), waiting: map[uint64]chan *wire.WorkflowReply{}, heard: time.Now()}
	streamCtx, cancel := context.WithCancel(g.ctx)
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

// close ends the link without waiting for its receiver, which ends by it.
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
		l.heard = time.Now()
		answer := l.waiting[reply.GetNumber()]
		delete(l.waiting, reply.GetNumber())
		l.mu.Unlock()
		if answer != nil {
			answer <- reply
		}
	}
}

// run sends signs of life until the link fails, and returns why it did.
func (l *link) run() error {
	ticker := time.NewTicker(helloGap)
	defer ticker.Stop()
	defer l.close()
	for {
		select {
		case <-l.ended:
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.err
		case <-l.g.ctx.Done():
			return l.g.ctx.Err()
		case <-ticker.C:
		}
		if l.silentFor() > silence {
			return errSilent
		}
		l.g.tasks.Go(l.sign)
	}
}

// sign asks whether the replica still leads.
func (l *link) sign() {
	ctx, cancel := context.WithTimeout(l.g.ctx, silence)
	defer cancel()
	reply, err := l.hello(ctx)
	if err != nil {
		return
	}
	l.g.learn(reply)
	if reply.GetAnswer() != wire.WorkflowAnswer_WORKFLOW_ANSWER_OK {
		l.g.drop(l, reply.GetFailure().GetLeader())
	}
}

func (l *link) silentFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.heard)
}

func (l *link) hello(ctx context.Context) (*wire.WorkflowReply, error) {
	return l.do(ctx, &wire.WorkflowRequest{Kind: wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_HELLO})
}

// do sends a request and waits for its answer.
func (l *link) do(ctx context.Context, request *wire.WorkflowRequest) (*wire.WorkflowReply, error) {
	request = proto.CloneOf(request)
	request.Number = l.g.nextNumber()
	answer := make(chan *wire.WorkflowReply, 1)
	l.mu.Lock()
	l.waiting[request.Number] = answer
	l.mu.Unlock()
	defer l.forget(request.Number)
	if err := l.send(request); err != nil {
		return nil, verdict.New(verdict.Unknown, "the request may have been sent in part", err)
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-l.ended:
		return nil, verdict.New(verdict.Unknown, "no answer from "+l.address, errEnded)
	case <-ctx.Done():
		return nil, verdict.New(verdict.Unknown, "no answer from "+l.address, ctx.Err())
	}
}

func (l *link) send(request *wire.WorkflowRequest) error {
	l.sending.Lock()
	defer l.sending.Unlock()
	return l.stream.Send(request)
}

func (l *link) forget(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}
