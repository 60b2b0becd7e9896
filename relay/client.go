package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/group"
	"daisyswitch/wire"

	"storj.io/drpc/drpcconn"
)

const redialDelay = time.Second // after a link has failed or could not be opened

// Options configures a Client.
type Options struct {
	Calls     call.Functions // of this process
	Dial      func(ctx context.Context, address string) (*drpcconn.Conn, error)
	SinceBoot func() time.Duration // includes suspended time
	Direct    int                  // workers that each member calls itself, 0 for all
}

// Client sends a leader's calls to workers, through the other members where it has too many workers.
type Client struct {
	*Assignment
	options Options
	dialing group.Group

	mu     sync.Mutex
	links  map[string]*link         // by address, with those that have failed until the next update
	dialed map[string]time.Duration // when a link was last opened, by address
	active bool                     // an update has opened links and none has closed them since
}

// NewClient returns a client without links.
func NewClient(o Options) *Client {
	return &Client{Assignment: NewAssignment(o.Direct), options: o, links: map[string]*link{}, dialed: map[string]time.Duration{}}
}

// Refresh assigns the workers, given with their failure domains, to this process and the members to which a link is open, and opens links to the others. Without workers it closes all links.
func (c *Client) Refresh(members []Member, workers map[string]string) {
	if len(workers) == 0 {
		members = nil
	}
	c.closeLinks(members)
	var usable []Member
	for _, m := range members {
		if c.ensureLink(m.Address) {
			usable = append(usable, m)
		}
	}
	c.Update(usable, workers)
}

// closeLinks closes the links that have failed and those to processes that are not among the members.
func (c *Client) closeLinks(members []Member) {
	wanted := map[string]bool{}
	for _, m := range members {
		wanted[m.Address] = true
	}
	now := c.options.SinceBoot()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = len(members) > 0
	for address, l := range c.links {
		if wanted[address] && (l.usable() || now-c.dialed[address] < maxSilence) {
			continue
		}
		l.fail()
		delete(c.links, address)
		event.RelayClosed.Info("relay", address, "wanted", wanted[address])
	}
}

// ensureLink reports whether the link to a member can be used, and opens one if there is none.
func (c *Client) ensureLink(address string) bool {
	now := c.options.SinceBoot()
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil {
		return l.usable()
	}
	if last, dialed := c.dialed[address]; dialed && now-last < redialDelay {
		return false
	}
	c.dialed[address] = now
	c.dialing.Go(func() { c.openLink(address) })
	return false
}

func (c *Client) openLink(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), redialDelay)
	defer cancel()
	conn, err := c.options.Dial(ctx, address)
	if err != nil {
		return // tried again by a later update
	}
	l, err := open(conn, c.options.SinceBoot)
	if err != nil {
		return
	}
	c.mu.Lock()
	unwanted := !c.active || c.links[address] != nil
	if !unwanted {
		c.links[address] = l
		c.dialed[address] = c.options.SinceBoot()
	}
	c.mu.Unlock()
	if unwanted {
		l.close()
		return
	}
	event.RelayOpened.Info("relay", address)
	l.running.Wait()
}

// Close closes all links and waits.
func (c *Client) Close() {
	c.Refresh(nil, nil)
	c.dialing.Wait()
}

// linkFor returns the link through which a worker is called and its address, nil if this process calls it itself.
func (c *Client) linkFor(worker string) (*link, string) {
	address := c.Of(worker)
	if address == "" {
		return nil, ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[address], address
}

// Functions returns the calls to workers. A relayed call that fails or is late is one without an answer, which may have been executed.
func (c *Client) Functions() call.Functions {
	direct := &c.options.Calls
	return call.Functions{
		Start: func(ctx context.Context, w *wire.CalledWorker, s *call.Start) (*call.Answer, error) {
			if l, address := c.linkFor(w.GetId()); l != nil {
				return answered(c.relay(ctx, l, address, startCall(w, s)))
			}
			return direct.Start(ctx, w, s)
		},
		Stop: func(ctx context.Context, w *wire.CalledWorker, s *call.Stop) (*call.Answer, error) {
			if l, address := c.linkFor(w.GetId()); l != nil {
				return answered(c.relay(ctx, l, address, stopCall(w, s)))
			}
			return direct.Stop(ctx, w, s)
		},
		Pace: func(ctx context.Context, w *wire.CalledWorker, p *call.Pace) (*call.Answer, error) {
			if l, address := c.linkFor(w.GetId()); l != nil {
				return answered(c.relay(ctx, l, address, paceCall(w, p)))
			}
			return direct.Pace(ctx, w, p)
		},
		Hold: func(ctx context.Context, w *wire.CalledWorker, h *call.Hold) (*call.Listing, error) {
			if l, address := c.linkFor(w.GetId()); l != nil {
				return c.relay(ctx, l, address, holdCall(w, h))
			}
			return direct.Hold(ctx, w, h)
		},
	}
}

func answered(l *call.Listing, err error) (*call.Answer, error) {
	if err != nil {
		return nil, err
	}
	return &l.Answer, nil
}

// relay sends a call through a link. If several fail in a row, the worker's later calls take another way.
func (c *Client) relay(ctx context.Context, l *link, address string, message *wire.RelayCall) (*call.Listing, error) {
	reply, err := l.do(ctx, message)
	var listing *call.Listing
	if err == nil {
		listing, err = answerOf(reply)
	}
	switch {
	case err == nil:
		c.Succeeded(message.GetWorker().GetId())
	case !errors.Is(err, context.Canceled) && !errors.Is(err, call.ErrOtherWorker) && !errors.Is(err, call.ErrRestarted):
		c.Failed(message.GetWorker().GetId(), address)
	}
	return listing, err
}
