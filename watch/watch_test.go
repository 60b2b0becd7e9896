package watch_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/settings"
	"daisyswitch/watch"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// fakeReplica sends its configuration once and then, if it is alive, an empty message each second.
type fakeReplica struct {
	wire.DRPCControlUnimplementedServer
	version uint64
	alive   bool
}

func (f *fakeReplica) Watch(_ *wire.WatchRequest, stream wire.DRPCControl_WatchStream) error {
	if err := stream.Send(&wire.WatchEvent{Configuration: &wire.Configuration{Version: f.version}}); err != nil {
		return err
	}
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(time.Second):
		}
		if !f.alive {
			continue
		}
		if err := stream.Send(&wire.WatchEvent{}); err != nil {
			return err
		}
	}
}

func dialTo(ctx context.Context, replicas map[string]*fakeReplica) func(context.Context, string) (*drpcconn.Conn, error) {
	return func(_ context.Context, address string) (*drpcconn.Conn, error) {
		replica := replicas[address]
		if replica == nil {
			return nil, errors.New("refused")
		}
		mux := drpcmux.New()
		if err := wire.DRPCRegisterControl(mux, replica); err != nil {
			return nil, err
		}
		client, server := net.Pipe()
		go func() { _ = drpcserver.New(mux).ServeOne(ctx, server) }()
		return drpcconn.New(client), nil
	}
}

// TestWatchLeavesASilentReplica guards against staying with a stale replica: the one in the own domain is cut off from its leader, holds an old version and stops sending.
func TestWatchLeavesASilentReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		replicas := map[string]*fakeReplica{
			"near": {version: 3, alive: false},
			"far":  {version: 7, alive: true},
		}
		holder := watch.NewHolder(func(*wire.Configuration) {})
		w := watch.New(watch.Options{
			Entry:    "e1",
			Domain:   "cebu",
			Replicas: []settings.Replica{{ID: 1, Inner: "far", Domain: "bohol"}, {ID: 2, Inner: "near", Domain: "cebu"}, {ID: 3, Inner: "dead", Domain: "leyte"}},
			Dial:     dialTo(ctx, replicas),
			Holder:   holder,
		})
		time.Sleep(time.Second)
		assert.Equal(t, holder.Version(), uint64(3), "the own domain's replica comes first")
		time.Sleep(2 * time.Second)
		assert.Equal(t, holder.Version(), uint64(7), "active within 3 s although the near replica is silent")
		assert.NilError(t, w.Close())
	})
}
