package leader

import (
	"context"
	"sync"
	"time"

	"daisyswitch/inner"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"storj.io/drpc/drpcconn"
)

const (
	attemptTimeout = time.Second           // time-out of a call to one replica
	retryPause     = 50 * time.Millisecond // between attempts
)

// Leader is a client of the leader among the control replicas.
type Leader struct {
	pool      *inner.Pool
	addresses []string

	mu      sync.Mutex
	current int    // index into addresses of the replica to call while there is no hint
	hint    string // leader's address from the last redirect, empty if unknown
}

// New returns a client for the leader among the replicas at addresses.
func New(pool *inner.Pool, addresses []string) *Leader {
	return &Leader{pool: pool, addresses: addresses}
}

// Propose proposes a command and returns its result. It retries until ctx ends, so the command must carry what makes a resend idempotent.
func (l *Leader) Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	var result *wire.CommandResult
	err := l.retry(ctx, func(ctx context.Context, conn *drpcconn.Conn) (*wire.Failure, error) {
		reply, err := wire.NewDRPCControlClient(conn).Propose(ctx, &wire.ProposeRequest{Command: command})
		if err != nil {
			return nil, err
		}
		result = reply.Result
		return reply.Failure, nil
	})
	return result, err
}

// Read reads the leader's state after a quorum has confirmed that it still leads.
func (l *Leader) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	var reply *wire.ReadReply
	err := l.retry(ctx, func(ctx context.Context, conn *drpcconn.Conn) (*wire.Failure, error) {
		var err error
		reply, err = wire.NewDRPCControlClient(conn).Read(ctx, request)
		return reply.GetFailure(), err
	})
	return reply, err
}

// Report sends workers' reports to the leader. It retries only if the reports are known not to have been processed.
func (l *Leader) Report(ctx context.Context, batch *wire.ReportBatch) (*wire.ReportBatchReply, error) {
	var reply *wire.ReportBatchReply
	send := func(ctx context.Context, conn *drpcconn.Conn) (*wire.Failure, error) {
		var err error
		reply, err = wire.NewDRPCControlClient(conn).Report(ctx, batch)
		return reply.GetFailure(), err
	}
	for {
		err := l.callLeader(ctx, send)
		if err == nil {
			return reply, nil
		}
		if verdict.Of(err) != verdict.NotRun || !sleep(ctx, retryPause) {
			return nil, err
		}
	}
}

type controlCall func(context.Context, *drpcconn.Conn) (*wire.Failure, error)

// retry repeats call until it succeeds or ctx ends. Once an attempt may have run, the returned error never has verdict NotRun.
func (l *Leader) retry(ctx context.Context, call controlCall) error {
	unknown := false
	for {
		err := l.callLeader(ctx, call)
		if err == nil {
			return nil
		}
		if verdict.Of(err) != verdict.NotRun {
			unknown = true
		}
		if !sleep(ctx, retryPause) {
			return finalError(err, unknown)
		}
	}
}

func finalError(err error, unknown bool) error {
	if unknown {
		return verdict.New(verdict.Unknown, "control did not answer in time", err)
	}
	return verdict.New(verdict.NotRun, "control cannot be reached", err)
}

// callLeader calls the presumed leader once and updates the address for the next call from a redirect or failure.
func (l *Leader) callLeader(ctx context.Context, call controlCall) error {
	address := l.address()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var failure *wire.Failure
	err := l.pool.Do(ctx, address, func(conn *drpcconn.Conn) error {
		var err error
		failure, err = call(ctx, conn)
		return err
	})
	if err != nil {
		l.advance(address, "")
		return err
	}
	if failure == nil {
		return nil
	}
	l.advance(address, failure.Leader)
	return verdict.New(inner.FromWire(failure.Verdict), failure.Reason, nil)
}

func (l *Leader) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hint != "" {
		return l.hint
	}
	return l.addresses[l.current]
}

// advance selects the next address to call after the one at from did not answer as the leader. A hint that names another address takes precedence.
func (l *Leader) advance(from, hint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if hint != "" && hint != from {
		l.hint = hint
		return
	}
	l.hint = ""
	if l.addresses[l.current] == from {
		l.current = (l.current + 1) % len(l.addresses)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
