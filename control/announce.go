package control

import (
	"context"
	"sync"
	"time"

	"daisyswitch/event"
	"daisyswitch/relay"
	"daisyswitch/verdict"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

const (
	maxForwarding   = 16                     // announcements at a time that one replica forwards; each uses a connection to the leader
	announcerWindow = 4 * time.Second        // within which a worker that still announces itself here does so again, at intervals of 1.5 s
	relayInterval   = 250 * time.Millisecond // between updates of the assignment of workers to replicas
)

// ReceiveAnnouncement processes a worker's announcement on any replica. It returns the drpc address of the replica for the worker's later announcements, empty for this one.
// Up to the number of workers that the leader calls itself, only the leader accepts announcements.
func (c *Control) ReceiveAnnouncement(ctx context.Context, w *wire.CalledWorker, sequence int64) (next string, err error) {
	if c.isServingLeader() {
		err := c.Announce(ctx, w, sequence)
		return c.announcementsOf(w), err
	}
	// At a start, the workers that announce themselves here show that there are many before any is recorded.
	announcing := c.announcers.add(w.GetId(), c.sinceBoot())
	if !c.hasManyWorkers() && !c.relays.Many(announcing) {
		return "", c.checkLeader()
	}
	if c.pauses.Recent() {
		// What is read after a pause may be outdated, and its sender may have announced itself elsewhere.
		return "", c.checkLeader()
	}
	if overloaded := announcing > c.maxAnnouncers; c.isRecorded(w) && !overloaded {
		c.counters.announcementsHere.Inc()
		return "", nil
	}
	return c.forwardAnnouncement(ctx, &wire.WorkerAnnouncement{Worker: w, Sequence: sequence})
}

func (c *Control) hasManyWorkers() bool {
	count := 0
	c.workflows.View(func(t *workflow.Tables) { count = len(t.Workers) })
	return c.relays.Many(count)
}

func (c *Control) isRecorded(w *wire.CalledWorker) bool {
	recorded := false
	c.workflows.View(func(t *workflow.Tables) { recorded = t.Recorded(w) })
	return recorded
}

// forwardAnnouncement has the leader commit an announcement. It is not retried beyond the time within which a worker expects the acknowledgement.
func (c *Control) forwardAnnouncement(ctx context.Context, a *wire.WorkerAnnouncement) (next string, err error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	select {
	case c.forwarding <- struct{}{}:
		defer func() { <-c.forwarding }()
	case <-ctx.Done():
		return "", verdict.New(verdict.NotRun, "too many announcements are being forwarded", ctx.Err())
	}
	mayHaveRun := false
	for {
		reply, err := c.forward(ctx, &wire.ForwardedOrder{Announcement: a})
		if err == nil {
			c.counters.announcementsForwarded.Inc()
			return c.nextFor(reply), nil
		}
		mayHaveRun = mayHaveRun || verdict.Of(err) != verdict.NotRun
		if ctx.Err() != nil || c.pauses.Recent() || !waitFor(ctx, forwardRetryDelay) {
			event.AnnouncementNotForwarded.Error(err, "worker", a.GetWorker().GetId(), "leader", c.otherLeader())
			return "", c.notForwarded(mayHaveRun, err)
		}
	}
}

// nextFor returns where the leader wants the worker's later announcements, empty if that is here.
func (c *Control) nextFor(reply *wire.ForwardedOrderReply) string {
	if reply.GetNext() == c.settings.Inner {
		return ""
	}
	return reply.GetNext()
}

// carryOutAnnouncement processes a forwarded announcement as the leader.
func (c *Control) carryOutAnnouncement(ctx context.Context, a *wire.WorkerAnnouncement) (*wire.ForwardedOrderReply, error) {
	if err := c.Announce(ctx, a.GetWorker(), a.GetSequence()); err != nil {
		return nil, err
	}
	next := c.announcementsOf(a.GetWorker())
	if next == "" {
		next = c.settings.Inner
	}
	return &wire.ForwardedOrderReply{Next: next}, nil
}

// announcementsOf returns the drpc address of the replica for a worker's announcements, empty for this leader. It is the one that calls the worker.
func (c *Control) announcementsOf(w *wire.CalledWorker) string {
	if !c.hasManyWorkers() {
		return ""
	}
	return c.relays.Place(w.GetId(), w.GetDomain())
}

// assignWorkers keeps the assignment of workers to replicas up to date while this replica leads.
func (c *Control) assignWorkers(ctx context.Context) {
	defer c.relays.Refresh(nil, nil)
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		c.relays.Refresh(c.relayMembers(), c.workerDomains())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// relayMembers returns the other members that answer.
func (c *Control) relayMembers() []relay.Member {
	info := c.replica.Info()
	domains := map[uint64]string{}
	for _, r := range c.settings.Control {
		domains[r.ID] = r.Domain
	}
	for _, m := range info.Members.GetMembers() {
		if m.GetDomain() != "" {
			domains[m.GetId()] = m.GetDomain()
		}
	}
	var members []relay.Member
	for _, p := range info.Peers {
		if p.Active && p.Address != "" {
			members = append(members, relay.Member{Address: p.Address, Domain: domains[p.ID]})
		}
	}
	return members
}

// workerDomains returns the failure domains of all workers by id, nil while the leader calls all of them itself.
func (c *Control) workerDomains() map[string]string {
	var domains map[string]string
	c.workflows.View(func(t *workflow.Tables) {
		if !c.relays.Needed(len(t.Workers)) {
			return
		}
		domains = make(map[string]string, len(t.Workers))
		for id, w := range t.Workers {
			domains[id] = w.GetDomain()
		}
	})
	return domains
}

// announcers counts the workers that announce themselves to this replica.
type announcers struct {
	mu              sync.Mutex
	began           time.Duration // of the present window
	present, former map[string]struct{}
}

// add notes a worker and returns the number of workers of this window and the one before.
func (a *announcers) add(worker string, now time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.present == nil || now-a.began >= announcerWindow {
		a.former, a.present, a.began = a.present, map[string]struct{}{}, now
	}
	a.present[worker] = struct{}{}
	delete(a.former, worker)
	return len(a.present) + len(a.former)
}
