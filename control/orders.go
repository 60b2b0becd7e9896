package control

import (
	"context"
	"errors"
	"time"

	"daisyswitch/event"
	"daisyswitch/group"
	"daisyswitch/inner"
	"daisyswitch/verdict"
	"daisyswitch/wire"
	"daisyswitch/workflow"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
)

// Timing of orders that a replica forwards to the leader.
const (
	forwardTimeout     = 800 * time.Millisecond  // operators give an answer up after a second
	forwardDialTimeout = 300 * time.Millisecond  // replicas are a few milliseconds apart
	forwardRetryDelay  = 20 * time.Millisecond   // between looks for the leader
	maxTicketAge       = time.Second             // after which the sender may have been paused and its operator have sent a later order elsewhere
	recentPause        = 1500 * time.Millisecond // operators give a request up within that time
)

// PutQueues replaces the queue configuration, unless the current one has the same or a newer version.
func (c *Control) PutQueues(ctx context.Context, q *wire.QueueSet) error {
	_, err := c.order(ctx, &wire.ForwardedOrder{Queues: q})
	return err
}

// Queues returns the newest queue configuration, nil if there is none yet.
func (c *Control) Queues(ctx context.Context) (*wire.QueueSet, error) {
	reply, err := c.order(ctx, &wire.ForwardedOrder{ReadQueues: true})
	return reply.GetQueues(), err
}

// SetDomainOut takes a failure domain out of service or returns it to service.
func (c *Control) SetDomainOut(ctx context.Context, domain string, out bool) error {
	_, err := c.order(ctx, &wire.ForwardedOrder{Domain: &wire.DomainOut{Domain: domain, Out: out}})
	return err
}

// StartWave commits an order for upkeep of a set of machines.
func (c *Control) StartWave(ctx context.Context, w *wire.Wave) error {
	_, err := c.order(ctx, &wire.ForwardedOrder{Wave: w})
	return err
}

// WaveDone reports whether upkeep has begun on all machines of a wave. known is false if no wave with this number was ordered.
func (c *Control) WaveDone(ctx context.Context, number int64) (done, known bool, err error) {
	reply, err := c.order(ctx, &wire.ForwardedOrder{ReadWave: number})
	return reply.GetWaveDone(), reply.GetWaveKnown(), err
}

func isOrder(o *wire.ForwardedOrder) bool {
	return o.GetQueues() != nil || o.GetDomain() != nil || o.GetWave() != nil || o.GetAnnouncement() != nil
}

func isQuestion(o *wire.ForwardedOrder) bool {
	return o.GetReadQueues() || o.GetReadWave() != 0
}

// order carries out an order or answers a question, by way of the leader if this replica does not lead.
func (c *Control) order(ctx context.Context, o *wire.ForwardedOrder) (*wire.ForwardedOrderReply, error) {
	if c.isServingLeader() {
		return c.carryOut(ctx, o)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	began := time.Now()
	mayHaveRun := false
	for {
		reply, err := c.forward(ctx, o)
		if err == nil {
			event.OrderForwarded.Info("order", describeOrder(o), "leader", c.otherLeader(), "took_ms", time.Since(began).Milliseconds())
			return reply, nil
		}
		mayHaveRun = mayHaveRun || verdict.Of(err) != verdict.NotRun
		if errors.Is(err, errPaused) || ctx.Err() != nil || !waitFor(ctx, forwardRetryDelay) {
			event.OrderNotForwarded.Error(err, "order", describeOrder(o), "leader", c.otherLeader(), "took_ms", time.Since(began).Milliseconds())
			return nil, c.notForwarded(mayHaveRun, err)
		}
	}
}

// notForwarded returns the error of an order that was not answered. If it has not run, the error names the leader, so that the operator can be sent there.
func (c *Control) notForwarded(mayHaveRun bool, cause error) error {
	if mayHaveRun {
		return verdict.New(verdict.Unknown, "the leader did not answer in time", cause)
	}
	if err := c.checkLeader(); err != nil {
		return err
	}
	return verdict.New(verdict.NotRun, "this replica has just become the leader", cause)
}

func waitFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func describeOrder(o *wire.ForwardedOrder) string {
	switch {
	case o.GetQueues() != nil:
		return "put queues"
	case o.GetDomain().GetOut():
		return "domain out"
	case o.GetDomain() != nil:
		return "domain in"
	case o.GetWave() != nil:
		return "start wave"
	case o.GetReadQueues():
		return "read queues"
	default:
		return "read wave"
	}
}

var (
	errNoLeader = errors.New("no leader is known")
	errPaused   = errors.New("this process was paused, so that the order may be outdated")
)

// otherLeader returns the address of the leader that this replica follows, or an empty string.
func (c *Control) otherLeader() string {
	info := c.replica.Info()
	if info.Leader == c.settings.ID {
		return ""
	}
	return info.LeaderAddress
}

// forward passes an order on to the leader, once. It gives up as soon as another replica leads.
// An order that takes effect late could undo a later one, which the operator sent elsewhere. So it is sent with a ticket of the leader, and not at all if this process was paused and may have read it late.
func (c *Control) forward(ctx context.Context, o *wire.ForwardedOrder) (*wire.ForwardedOrderReply, error) {
	if c.isServingLeader() {
		return c.carryOut(ctx, o)
	}
	leader := c.otherLeader()
	if leader == "" {
		return nil, verdict.New(verdict.NotRun, "the order was not forwarded", errNoLeader)
	}
	ctx, cancel := context.WithCancel(ctx)
	var watching group.Group
	defer watching.Wait()
	defer cancel()
	watching.Go(func() {
		for c.otherLeader() == leader && waitFor(ctx, forwardRetryDelay) {
		}
		cancel()
	})
	if isOrder(o) {
		permission, err := c.callLeader(ctx, leader, &wire.ForwardedOrder{})
		if err != nil {
			return nil, verdict.New(verdict.NotRun, "the leader gave no ticket", err)
		}
		if c.pauses.Recent() {
			return nil, verdict.New(verdict.NotRun, "the order was not forwarded", errPaused)
		}
		o = proto.CloneOf(o)
		o.Ticket = permission.GetTicket()
	}
	return c.callLeader(ctx, leader, o)
}

func (c *Control) callLeader(ctx context.Context, leader string, o *wire.ForwardedOrder) (*wire.ForwardedOrderReply, error) {
	var reply *wire.ForwardedOrderReply
	err := c.pool.Do(ctx, leader, func(conn *drpcconn.Conn) error {
		var err error
		reply, err = wire.NewDRPCControlClient(conn).ForwardOrder(ctx, o)
		return err
	})
	if err != nil {
		return nil, err
	}
	if f := reply.GetFailure(); f != nil {
		return nil, verdict.New(inner.FromWire(f.GetVerdict()), f.GetReason(), nil)
	}
	return reply, nil
}

// ForwardOrder carries out an order that another replica forwards.
func (c *Control) ForwardOrder(ctx context.Context, o *wire.ForwardedOrder) (*wire.ForwardedOrderReply, error) {
	if !c.isServingLeader() {
		return &wire.ForwardedOrderReply{Failure: c.notLeaderFailure()}, nil
	}
	if isOrder(o) && !c.isValid(o.GetTicket()) {
		return &wire.ForwardedOrderReply{Failure: c.failure(verdict.New(verdict.NotRun, "the order came with an outdated ticket", nil))}, nil
	}
	if !isOrder(o) && !isQuestion(o) {
		return &wire.ForwardedOrderReply{Ticket: c.newTicket()}, nil
	}
	reply, err := c.carryOut(ctx, o)
	if err != nil {
		return &wire.ForwardedOrderReply{Failure: c.failure(err)}, nil
	}
	return reply, nil
}

func (c *Control) newTicket() *wire.OrderTicket {
	return &wire.OrderTicket{Term: c.replica.Info().Term, IssuedMs: c.sinceBoot().Milliseconds()}
}

func (c *Control) isValid(t *wire.OrderTicket) bool {
	age := c.sinceBoot() - time.Duration(t.GetIssuedMs())*time.Millisecond
	return t.GetTerm() == c.replica.Info().Term && age >= 0 && age <= maxTicketAge
}

// carryOut carries out an order or answers a question as the leader.
func (c *Control) carryOut(ctx context.Context, o *wire.ForwardedOrder) (*wire.ForwardedOrderReply, error) {
	if err := c.checkLeader(); err != nil {
		return nil, err
	}
	if a := o.GetAnnouncement(); a != nil {
		return c.carryOutAnnouncement(ctx, a)
	}
	if isOrder(o) {
		return &wire.ForwardedOrderReply{}, c.carryOutOrder(ctx, o)
	}
	reply := &wire.ForwardedOrderReply{}
	c.workflows.View(func(t *workflow.Tables) {
		reply.Queues = t.Queues
		if w := t.Waves[o.GetReadWave()]; w != nil {
			reply.WaveKnown = true
			reply.WaveDone = len(w.GetBegun()) >= len(w.GetMachines())
		}
	})
	if !o.GetReadQueues() {
		reply.Queues = nil
	}
	return reply, c.checkLeader()
}

func (c *Control) carryOutOrder(ctx context.Context, o *wire.ForwardedOrder) error {
	command := &wire.WorkflowCommand{Domain: o.GetDomain(), Wave: o.GetWave()}
	if q := o.GetQueues(); q != nil {
		var current uint64
		c.workflows.View(func(t *workflow.Tables) { current = t.Queues.GetVersion() })
		event.QueuesOffered.Info("version", q.GetVersion(), "held", current, "queues", len(q.GetQueues()))
		if q.GetVersion() <= current {
			return nil
		}
		command.Queues = q
	}
	if d := o.GetDomain(); d != nil {
		event.DomainOrdered.Info("domain", d.GetDomain(), "out", d.GetOut())
	}
	if w := o.GetWave(); w != nil {
		event.WaveOrdered.Info("wave", w.GetNumber(), "machines", len(w.GetMachines()), "at_once", w.GetAtOnce())
		w.StartedMs = time.Now().UnixMilli()
	}
	_, err := c.commitWorkflow(ctx, command)
	return err
}
