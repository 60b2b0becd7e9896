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
	silence    = 2 * time.Second        // a replica that knows a leader speaks each second
	retryPause = 100 * time.Millisecond // doubled up to maxPause while no replica can be followed
	maxPause   = 800 * time.Millisecond
)

// Options configures a Watch.
type Options struct {
	Entry    string
	Domain   string
	Replicas []settings.Replica
	Dial     func(ctx context.Context, address string) (*drpcconn.Conn, error)
	Holder   *Holder
}

// Watch follows the configuration at one replica and moves on to another when it falls silent.
type Watch struct {
	options Options
	cancel  context.CancelFunc
	wait    group.Group
}

// New starts to follow, with the replicas of the own domain first.
func New(o Options) *Watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{options: o, cancel: cancel}
	w.options.Replicas = ownDomainFirst(o.Replicas, o.Domain)
	w.wait.Go(func() { w.run(ctx) })
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
	pause := retryPause
	for next := 0; ctx.Err() == nil; next++ {
		replica := w.options.Replicas[next%len(w.options.Replicas)]
		began := time.Now()
		err := w.follow(ctx, replica)
		pause = min(2*pause, maxPause)
		if time.Since(began) > silence {
			pause = retryPause
		}
		if ctx.Err() == nil && pause == retryPause {
			event.WatchMoved.Info("replica", replica.ID, "reason", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// follow receives from one replica until it fails or falls silent.
func (w *Watch) follow(ctx context.Context, replica settings.Replica) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := w.options.Dial(ctx, replica.Inner)
	if err != nil {
		return err
	}
	defer conn.Close()
	alarm := time.AfterFunc(silence, cancel)
	defer alarm.Stop()
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
		alarm.Reset(silence)
		w.options.Holder.Offer(message.Configuration, replica.Inner)
	}
}

// Close ends the watch and waits.
func (w *Watch) Close() error {
	w.cancel()
	w.wait.Wait()
	return nil
}
