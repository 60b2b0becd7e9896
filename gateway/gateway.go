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
)

// Timing of the way to the leader.
const (
	probeTime = 300 * time.Millisecond  // longest wait for a replica to say whether it leads; replicas are a few milliseconds away
	probeGap  = 50 * time.Millisecond   // between rounds of probes; one election tick
	helloGap  = 250 * time.Millisecond  // between signs of life on a quiet stream; half an election timeout
	silence   = 750 * time.Millisecond  // without any, a stream is replaced; three signs
	readyFor  = 2 * time.Second         // without a leader; elections take less
	electFor  = time.Second             // after the leader was lost, requests wait for the next; a change of leader takes less
	leaderFor = 50 * time.Millisecond   // a request waits for a leader at least, before it is refused as not run; a round of probes
	answerFor = 2500 * time.Millisecond // longest wait for an answer when the caller names no deadline; a commit may take 2 s
)

// Options says where control may be found.
type Options struct {
	Seeds []string                                                    // drpc addresses
	Dial  func(ctx context.Context, address string) (net.Conn, error) // TCP when nil
}

// Gateway is one process's way to the leader.
type Gateway struct {
	pool   *inner.Pool
	ctx    context.Context
	cancel context.CancelFunc
	tasks  group.Group

	mu       sync.Mutex // guards what follows
	seeds    []string
	replicas []string      // as the last leader named them
	leader   string        // that a refusal named last
	link     *link         // to the leader, nil while there is none
	linked   chan struct{} // closed when there is a link
	lostAt   time.Time     // since when there has been none
	number   uint64
}

// New returns a gateway that looks for the leader until Close.
func New(o Options) *Gateway {
	g := &Gateway{pool: inner.New(inner.Options{Dial: o.Dial, DialTime: probeTime}), seeds: o.Seeds, linked: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.tasks.Go(g.follow)
	return g
}

// SetSeeds replaces the addresses where control may be found.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Ready says why the gateway cannot serve, nil if it can.
func (g *Gateway) Ready() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.link != nil || !g.lostAt.IsZero() && time.Since(g.lostAt) < readyFor {
		return nil
	}
	return verdict.New(verdict.NotRun, "no leader of control can be reached", nil)
}

// Close ends the way to the leader and waits.
func (g *Gateway) Close() error {
	g.cancel()
	g.tasks.Wait()
	return g.pool.Close()
}

// Do has a request answered by the leader; an error is a *verdict.Error that says whether the request may have run.
func (g *Gateway) Do(ctx context.Context, request *wire.WorkflowRequest) (*wire.WorkflowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, answerFor)
	defer cancel()
	patience := g.patience()
	mayHaveRun := false
	for {
		l, err := g.wait(ctx, patience)
		if err != nil {
			return nil, worst(mayHaveRun, "no leader of control can be reached", err)
		}
		reply, err := l.do(ctx, request)
		switch {
		case err != nil:
			mayHaveRun = mayHaveRun || verdict.Of(err) != verdict.NotRun
		case reply.GetAnswer() != wire.WorkflowAnswer_WORKFLOW_ANSWER_FAILURE:
			return reply, nil
		default:
			err = verdict.New(inner.FromWire(reply.GetFailure().GetVerdict()), reply.GetFailure().GetReason(), nil)
			mayHaveRun = mayHaveRun || verdict.Of(err) != verdict.NotRun
			g.drop(l, reply.GetFailure().GetLeader())
		}
		if ctx.Err() != nil || time.Now().After(patience) {
			return nil, worst(mayHaveRun, "control gave no answer", err)
		}
	}
}

// patience returns until when a request may wait for a leader: through a change of leader, but not while none can be reached.
func (g *Gateway) patience() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	least := time.Now().Add(leaderFor)
	lost := g.lostAt
	if g.link != nil {
		lost = time.Now()
	}
	if until := lost.Add(electFor); until.After(least) {
		return until
	}
	return least
}

// worst says that a request may have run if any of its tries may have.
func worst(mayHaveRun bool, reason string, cause error) error {
	if mayHaveRun {
		return verdict.New(verdict.Unknown, reason, cause)
	}
	return verdict.New(verdict.NotRun, reason, cause)
}

// wait returns the link to the leader as soon as there is one.
func (g *Gateway) wait(ctx context.Context, until time.Time) (*link, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		g.mu.Lock()
		l, linked := g.link, g.linked
		g.mu.Unlock()
		if l != nil {
			return l, nil
		}
		select {
		case <-linked:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-g.ctx.Done():
			return nil, g.ctx.Err()
		}
	}
}

// follow keeps a link to the leader.
func (g *Gateway) follow() {
	for g.ctx.Err() == nil {
		l := g.find()
		if l == nil {
			g.pause(probeGap)
			continue
		}
		g.set(l)
		event.LeaderFound.Info("address", l.address)
		cause := l.run()
		event.LeaderLinkLost.Error(cause, "address", l.address)
		g.drop(l, "")
	}
}

func (g *Gateway) pause(d time.Duration) {
	select {
	case <-g.ctx.Done():
	case <-time.After(d):
	}
}

func (g *Gateway) set(l *link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.link = l
	close(g.linked)
}

// drop ends a link that fails or whose replica leads no more.
func (g *Gateway) drop(l *link, leader string) {
	g.mu.Lock()
	if g.link == l {
		g.link, g.linked, g.lostAt = nil, make(chan struct{}), time.Now()
	}
	if leader != "" {
		g.leader = leader
	}
	g.mu.Unlock()
	l.close()
}

// candidates returns where to look for the leader.
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

// find asks all replicas at once and returns a link to the one that leads, nil if none says so.
func (g *Gateway) find() *link {
	ctx, cancel := context.WithTimeout(g.ctx, probeTime)
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

// probe opens a link and returns it if the replica leads.
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
	g.learn(reply)
	if reply.GetAnswer() != wire.WorkflowAnswer_WORKFLOW_ANSWER_OK {
		l.close()
		return nil
	}
	return l
}

// learn keeps what a replica says of its group.
func (g *Gateway) learn(reply *wire.WorkflowReply) {
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
	g.number++
	return g.number
}
