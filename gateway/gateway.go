package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"daisyswitch/event"
	"daisyswitch/group"
	"daisyswitch/inner"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

// Timeouts and intervals of the connection to the leader.
const (
	probeTimeout  = 300 * time.Millisecond  // longest wait for a replica's answer whether it is the leader; the round trip takes a few milliseconds
	probeInterval = 50 * time.Millisecond   // between rounds of probes; one election tick
	helloInterval = 250 * time.Millisecond  // between heartbeats on a stream; half an election timeout
	helloTimeout  = 750 * time.Millisecond  // a stream without replies for this long is replaced; three heartbeats
	readyGrace    = 2 * time.Second         // the gateway stays ready this long without a leader; elections take less
	electionWait  = time.Second             // after the leader is lost, requests wait this long for the next one; a change of leader takes less
	minLeaderWait = 50 * time.Millisecond   // shortest wait for a leader before a request is refused as not run; one round of probes
	maxAnswerWait = 2500 * time.Millisecond // longest wait for an answer, even if the caller's deadline is later; a commit may take 2 s
)

// Options configures how a Gateway finds control.
type Options struct {
	Seeds []string                                                    // drpc addresses
	Dial  func(ctx context.Context, address string) (net.Conn, error) // TCP when nil
}

// Gateway forwards a process's requests to the leader of control.
type Gateway struct {
	pool   *inner.Pool
	ctx    context.Context
	cancel context.CancelFunc
	tasks  group.Group

	mu         sync.Mutex // guards the fields below
	seeds      []string
	replicas   []string      // as last reported by a replica
	leader     string        // as last named in a refusal
	link       *link         // to the leader, nil while disconnected
	linkReady  chan struct{} // closed when link is set
	lostAt     time.Time     // when the last link was lost
	lastNumber uint64
}

// New returns a gateway that connects to the leader, and reconnects, until Close.
func New(o Options) *Gateway {
	g := &Gateway{pool: inner.New(inner.Options{Dial: o.Dial, ConnectTimeout: probeTimeout}), seeds: o.Seeds, linkReady: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.tasks.Go(g.maintainLink)
	return g
}

// SetSeeds replaces the addresses at which the gateway looks for control.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Ready returns why the gateway cannot serve requests, nil if it can.
func (g *Gateway) Ready() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.link != nil || !g.lostAt.IsZero() && time.Since(g.lostAt) < readyGrace {
		return nil
	}
	return verdict.New(verdict.NotRun, "no leader of control can be reached", nil)
}

// Close closes the connections to control and waits for the gateway's goroutines.
func (g *Gateway) Close() error {
	g.cancel()
	g.tasks.Wait()
	return g.pool.Close()
}

// Do sends a request to the leader and returns its reply. An error is a *verdict.Error that tells whether the request may have run.
func (g *Gateway) Do(ctx context.Context, request *wire.WorkflowRequest) (*wire.WorkflowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAnswerWait)
	defer cancel()
	leaderWaitDeadline := g.leaderWaitDeadline()
	request = proto.CloneOf(request)
	mayHaveRun := false
	for {
		l, err := g.waitForLink(ctx, leaderWaitDeadline)
		if err != nil {
			return nil, requestError(mayHaveRun, "no leader of control can be reached", err)
		}
		request.Resent = mayHaveRun
		reply, err := l.do(ctx, request)
		switch {
		case err != nil:
			mayHaveRun = mayHaveRun || verdict.Of(err) != verdict.NotRun
		case mayHaveRun && isRefused(request, reply):
			return nil, requestError(mayHaveRun, "an earlier try was not answered, and a later one was refused with "+reply.GetAnswer().String(), nil)
		case reply.GetAnswer() != wire.WorkflowAnswer_WORKFLOW_ANSWER_FAILURE:
			return reply, nil
		default:
			err = verdict.New(inner.FromWire(reply.GetFailure().GetVerdict()), reply.GetFailure().GetReason(), nil)
			mayHaveRun = mayHaveRun || verdict.Of(err) != verdict.NotRun
			g.dropLink(l, reply.GetFailure().GetLeader())
		}
		if ctx.Err() != nil || time.Now().After(leaderWaitDeadline) {
			return nil, requestError(mayHaveRun, "control did not answer the request", err)
		}
	}
}

// leaderWaitDeadline returns how long a request may wait for a leader: long enough for a change of leader, but only briefly while none has been reachable for a while.
func (g *Gateway) leaderWaitDeadline() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	earliest := time.Now().Add(minLeaderWait)
	lost := g.lostAt
	if g.link != nil {
		lost = time.Now()
	}
	if until := lost.Add(electionWait); until.After(earliest) {
		return until
	}
	return earliest
}

// isRefused reports whether a try of a submission or cancellation was refused, so that only earlier tries may have taken effect. That a workflow does not exist is true of all tries of its cancellation.
func isRefused(request *wire.WorkflowRequest, reply *wire.WorkflowReply) bool {
	switch request.GetKind() {
	case wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_SUBMIT, wire.WorkflowRequestKind_WORKFLOW_REQUEST_KIND_CANCEL:
	default:
		return false
	}
	switch reply.GetAnswer() {
	case wire.WorkflowAnswer_WORKFLOW_ANSWER_OK, wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW, wire.WorkflowAnswer_WORKFLOW_ANSWER_FAILURE:
		return false
	default:
		return true
	}
}

// requestError returns a verdict over all attempts: unknown if any attempt may have run, else not run.
func requestError(mayHaveRun bool, reason string, cause error) error {
	if mayHaveRun {
		return verdict.New(verdict.Unknown, reason, cause)
	}
	return verdict.New(verdict.NotRun, reason, cause)
}

// waitForLink waits until there is a link to the leader and returns it.
func (g *Gateway) waitForLink(ctx context.Context, until time.Time) (*link, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		g.mu.Lock()
		l, linkReady := g.link, g.linkReady
		g.mu.Unlock()
		if l != nil {
			return l, nil
		}
		select {
		case <-linkReady:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-g.ctx.Done():
			return nil, g.ctx.Err()
		}
	}
}

// maintainLink connects to the leader and reconnects when the link is lost.
func (g *Gateway) maintainLink() {
	for g.ctx.Err() == nil {
		l := g.findLeader()
		if l == nil {
			g.pause(probeInterval)
			continue
		}
		g.setLink(l)
		event.LeaderFound.Info("address", l.address)
		cause := l.run()
		event.LeaderLinkLost.Error(cause, "address", l.address)
		g.dropLink(l, "")
	}
}

func (g *Gateway) pause(d time.Duration) {
	select {
	case <-g.ctx.Done():
	case <-time.After(d):
	}
}

func (g *Gateway) setLink(l *link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.link = l
	close(g.linkReady)
}

// dropLink closes a link that failed or whose replica is no longer the leader.
func (g *Gateway) dropLink(l *link, leader string) {
	g.mu.Lock()
	if g.link == l {
		g.link, g.linkReady, g.lostAt = nil, make(chan struct{}), time.Now()
	}
	if leader != "" {
		g.leader = leader
	}
	g.mu.Unlock()
	l.close()
}

// candidates returns the addresses to probe for the leader, without duplicates.
func (g *Gateway) candidates() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []string
	seen := map[string]bool{"": true}
	for _, list := range [][]string{{g.leader}, g.replicas, g.seeds} {
		for _, address := range list {
			if !seen[address] {
				seen[address] = true
				all = append(all, address)
			}
		}
	}
	return all
}

// findLeader probes all candidates in parallel and returns a link to the leader, nil if none was found.
func (g *Gateway) findLeader() *link {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	candidates := g.candidates()
	found := make(chan *link, len(candidates))
	for _, address := range candidates {
		g.tasks.Go(func() { found <- g.probe(ctx, address) })
	}
	var leader *link
	for range candidates {
		l := <-found
		switch {
		case l == nil:
		case leader == nil:
			leader = l
			cancel()
		default:
			l.close()
		}
	}
	return leader
}

// probe opens a link to a replica and returns it if the replica is the leader.
func (g *Gateway) probe(ctx context.Context, address string) *link {
	l, err := newLink(ctx, g, address)
	if err != nil {
		return nil
	}
	reply, err := l.hello(ctx)
	if err != nil {
		l.close()
		return nil
	}
	g.updateReplicas(reply)
	if reply.GetAnswer() != wire.WorkflowAnswer_WORKFLOW_ANSWER_OK {
		l.close()
		return nil
	}
	return l
}

// updateReplicas records the group's replicas and leader from a replica's reply.
func (g *Gateway) updateReplicas(reply *wire.WorkflowReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(reply.GetReplicas()) > 0 {
		g.replicas = reply.GetReplicas()
	}
	if leader := reply.GetFailure().GetLeader(); leader != "" {
		g.leader = leader
	}
}

func (g *Gateway) nextNumber() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastNumber++
	return g.lastNumber
}
