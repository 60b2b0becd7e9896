package watch

import (
	"context"
	"time"

	"daisyswitch/event"
	"daisyswitch/group"
	"daisyswitch/settings"
	"daisyswitch/wire"

	"storj.io/drpc/drpcconn"
)

const (
	streamTimeout = 2 * time.Second        // a replica that knows a leader sends a message each second
	minBackoff    = 100 * time.Millisecond // doubled up to maxBackoff while no replica can be watched
	maxBackoff    = 800 * time.Millisecond
)

// Options configures a Watch.
type Options struct {
	Entry    string
	Domain   string
	Replicas []settings.Replica
	Dial     func(ctx context.Context, address string) (*drpcconn.Conn, error)
	Holder   *Holder
}

// Watch receives the configuration from one replica and switches to another when the stream fails or times out.
type Watch struct {
	options Options
	cancel  context.CancelFunc
	running group.Group
}

// New starts a watch that tries the replicas of its own domain first.
func New(o Options) *Watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{options: o, cancel: cancel}
	w.options.Replicas = ownDomainFirst(o.Replicas, o.Domain)
	w.running.Go(func() { w.run(ctx) })
	return w
}

func ownDomainFirst(replicas []settings.Replica, domain string) []settings.Replica {
	var own, others []settings.Replica
	for _, r := range replicas {
		if r.Domain == domain {
			own = append(own, r)
			continue
		}
		others = append(others, r)
	}
	return append(own, others...)
}

func (w *Watch) run(ctx context.Context) {
	backoff := minBackoff
	for next := 0; ctx.Err() == nil; next++ {
		replica := w.options.Replicas[next%len(w.options.Replicas)]
		started := time.Now()
		err := w.follow(ctx, replica)
		backoff = min(2*backoff, maxBackoff)
		if time.Since(started) > streamTimeout {
			backoff = minBackoff
		}
		if ctx.Err() == nil && backoff == minBackoff {
			event.WatchMoved.Info("replica", replica.ID, "reason", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
	}
}

// follow receives from one replica until the stream fails or times out.
func (w *Watch) follow(ctx context.Context, replica settings.Replica) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := w.options.Dial(ctx, replica.Inner)
	if err != nil {
		return err
	}
	defer conn.Close()
	timeout := time.AfterFunc(streamTimeout, cancel)
	defer timeout.Stop()
	request := &wire.WatchRequest{Entry: w.options.Entry, Domain: w.options.Domain, Version: w.options.Holder.Version()}
	stream, err := wire.NewDRPCControlClient(conn).Watch(ctx, request)
	if err != nil {
		return err
	}
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		timeout.Reset(streamTimeout)
		w.options.Holder.Offer(message.Configuration, replica.Inner)
	}
}

// Close stops the watch and waits for it to finish.
func (w *Watch) Close() error {
	w.cancel()
	w.running.Wait()
	return nil
}
