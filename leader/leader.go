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
	attemptTimeout = time.Second           // longest wait for one replica's answer
	retryPause     = 50 * time.Millisecond // between attempts while no leader is known
)

// Leader finds the leader among the control replicas and calls it.
type Leader struct {
	pool      *inner.Pool
	addresses []string

	mu      sync.Mutex
	current int    // index into addresses, the replica to try next
	hint    string // address that a replica named as the leader's
}

// New returns a caller of the leader among the replicas at addresses.
func New(pool *inner.Pool, addresses []string) *Leader {
	return &Leader{pool: pool, addresses: addresses}
}

// Propose has a command committed; it is tried again within ctx, so the command must carry what makes a resend harmless.
func (l *Leader) Propose(ctx context.Context, c *wire.Command) (*wire.CommandResult, error) {
	var result *wire.CommandResult
	err := l.retry(ctx, func(ctx context.Context, conn *drpcconn.Conn) (*wire.Failure, error) {
		reply, err := wire.NewDRPCControlClient(conn).Propose(ctx, &wire.ProposeRequest{Command: c})
		if err != nil {
			return nil, err
		}
		result = reply.Result
		return reply.Failure, nil
	})
	return result, err
}

// Read reads what the leader holds, confirmed by its quorum.
func (l *Leader) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	var reply *wire.ReadReply
	err := l.retry(ctx, func(ctx context.Context, conn *drpcconn.Conn) (*wire.Failure, error) {
		var err error
		reply, err = wire.NewDRPCControlClient(conn).Read(ctx, request)
		return reply.GetFailure(), err
	})
	return reply, err
}

// Report hands workers' reports to the leader and tries again only where they surely were not taken in.
func (l *Leader) Report(ctx context.Context, batch *wire.ReportBatch) (*wire.ReportBatchReply, error) {
	var reply *wire.ReportBatchReply
	take := func(ctx context.Context, conn *drpcconn.Conn) (*wire.Failure, error) {
		var err error
		reply, err = wire.NewDRPCControlClient(conn).Report(ctx, batch)
		return reply.GetFailure(), err
	}
	for {
		err := l.callLeader(ctx, take)
		if err == nil {
			return reply, nil
		}
		if verdict.Of(err) != verdict.NotRun || !sleep(ctx, retryPause) {
			return nil, err
		}
	}
}

type controlCall func(context.Context, *drpcconn.Conn) (*wire.Failure, error)

// retry repeats call until it is answered or ctx ends; once an attempt may have run, the failure never says NotRun.
func (l *Leader) retry(ctx context.Context, c controlCall) error {
	unknown := false
	for {
		err := l.callLeader(ctx, c)
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
		return verdict.New(verdict.Unknown, "control gave no answer in time", err)
	}
	return verdict.New(verdict.NotRun, "control cannot be reached", err)
}

// callLeader calls the supposed leader and learns from a redirect.
func (l *Leader) callLeader(ctx context.Context, c controlCall) error {
	address := l.address()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var failure *wire.Failure
	err := l.pool.Do(ctx, address, func(conn *drpcconn.Conn) error {
		var err error
		failure, err = c(ctx, conn)
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

// advance moves on from an address that did not answer as the leader.
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
