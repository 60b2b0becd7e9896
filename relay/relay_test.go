package relay_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/call"
	"daisyswitch/fabric"
	"daisyswitch/inner"
	"daisyswitch/relay"
	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
)

// relayControl is the part of a member that relays.
type relayControl struct {
	wire.DRPCControlUnimplementedServer
	*relay.Server
}

func (c *relayControl) Relay(stream wire.DRPCControl_RelayStream) error { return c.Serve(stream) }

// testBench is a leader with two relays. Its workers are the functions that each process calls.
type testBench struct {
	t       *testing.T
	fabric  *fabric.Fabric
	client  *relay.Client
	term    atomic.Uint64 // that the relays know
	paused  atomic.Int64  // nanoseconds by which the relays' clocks have jumped ahead
	called  [3]atomic.Int64
	holding atomic.Int64
	fail    atomic.Bool // whether calls by m1 fail
}

var workers = map[string]string{"w0": "za", "w1": "za", "w2": "zb"}

var restarts = map[string]uint64{"w0": 2} // the calls to the others have a lower fencing token, but the same term

func run(t *testing.T, test func(*testing.T, *testBench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &testBench{t: t, fabric: fabric.New(time.Millisecond)}
		began := time.Now()
		for i := 1; i <= 2; i++ {
			mux := drpcmux.New()
			clock := func() time.Duration {
				return time.Since(began) + time.Duration(b.paused.Load()) + time.Duration(i)*time.Hour
			}
			assert.NilError(t, wire.DRPCRegisterControl(mux, &relayControl{Server: &relay.Server{Calls: b.calls(i), SinceBoot: clock, Term: b.term.Load}}))
			server, err := inner.Listen(b.fabric.Listen, fmt.Sprintf("m%d:1", i), mux)
			assert.NilError(t, err)
			defer server.Close()
		}
		pool := inner.New(inner.Options{Dial: b.fabric.Dialer("leader")})
		defer pool.Close()
		b.client = relay.NewClient(relay.Options{Calls: b.calls(0), Dial: pool.Dial, SinceBoot: func() time.Duration { return time.Since(began) }, Direct: 1})
		defer b.client.Close()
		b.refresh(600 * time.Millisecond)
		test(t, b)
	})
}

// refresh updates the assignment for some time, as a leader does.
func (b *testBench) refresh(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		known := map[string]string{}
		for w, domain := range workers {
			known[w] = domain
		}
		b.client.Refresh([]relay.Member{{Address: "m1:1", Domain: "za"}, {Address: "m2:1", Domain: "zb"}}, known)
	}
}

func (b *testBench) calls(process int) call.Functions {
	return call.Functions{
		Start: func(_ context.Context, w *wire.CalledWorker, s *call.Start) (*call.Answer, error) {
			b.called[process].Add(1)
			if process == 1 && b.fail.Load() {
				return nil, errors.New("no route")
			}
			if s.Fence.Term != 3 || s.Fence.Restarts != restarts[w.GetId()] || s.Payload != "\xff" || s.Task.Workflow != "f" || s.DeadlineMS != 7 || w.GetAddress() != "a:1" {
				return nil, errors.New("the call has changed on its way")
			}
			return &call.Answer{ClockMS: 5, Refusal: call.NoRoom}, nil
		},
		Hold: func(ctx context.Context, _ *wire.CalledWorker, h *call.Hold) (*call.Listing, error) {
			b.holding.Add(1)
			defer b.holding.Add(-1)
			select {
			case <-time.After(h.Wait):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			return &call.Listing{Answer: call.Answer{ClockMS: 9}, Running: []call.Running{{Run: 3, LatencyOrCPU: 1.5}}, Ended: []call.Ended{{Number: 4, Outcome: wire.RunOutcome_RUN_OUTCOME_DONE, Checkpoint: "\xff"}}, MoreEnds: true}, nil
		},
	}
}

func (b *testBench) start(worker string) (*call.Answer, error) {
	ctx, cancel := context.WithTimeout(b.t.Context(), 600*time.Millisecond)
	defer cancel()
	return b.client.Functions().Start(ctx, &wire.CalledWorker{Id: worker, Address: "a:1"}, &call.Start{Task: workflow.Name{Workflow: "f"}, Payload: "\xff", DeadlineMS: 7, Fence: call.Fence{Term: 3, Restarts: restarts[worker]}})
}

// TestRelayedCallsReachTheWorkerUnchanged guards against fields that are lost on the way, and against a hold in progress that delays other calls on the stream.
func TestRelayedCallsReachTheWorkerUnchanged(t *testing.T) {
	run(t, func(t *testing.T, b *testBench) {
		assert.DeepEqual(t, []string{b.client.Of("w0"), b.client.Of("w1"), b.client.Of("w2")}, []string{"m1:1", "m2:1", ""})
		held := make(chan *call.Listing)
		go func() {
			l, err := b.client.Functions().Hold(t.Context(), &wire.CalledWorker{Id: "w0"}, &call.Hold{Wait: time.Second, Fence: call.Fence{Term: 3}})
			assert.Check(t, err)
			held <- l
		}()
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		for _, w := range []string{"w0", "w1", "w2"} {
			answer, err := b.start(w)
			assert.NilError(t, err)
			assert.DeepEqual(t, answer, &call.Answer{ClockMS: 5, Refusal: call.NoRoom})
		}
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%v", time.Since(began))
		for i := range b.called {
			assert.Equal(t, b.called[i].Load(), int64(1), "calls by process %d", i)
		}
		assert.DeepEqual(t, <-held, &call.Listing{Answer: call.Answer{ClockMS: 9}, Running: []call.Running{{Run: 3, LatencyOrCPU: 1.5}}, Ended: []call.Ended{{Number: 4, Outcome: wire.RunOutcome_RUN_OUTCOME_DONE, Checkpoint: "\xff"}}, MoreEnds: true})
	})
}

// TestRelayDropsWhatIsOutdated guards against a call that is executed after its sender has given it up, as by a relay that was frozen, or after a newer term is known.
func TestRelayDropsWhatIsOutdated(t *testing.T) {
	run(t, func(t *testing.T, b *testBench) {
		b.paused.Store(int64(3 * time.Second)) // the leader learns of it with the next reading of the clock
		_, err := b.start("w0")
		assert.ErrorContains(t, err, "too late")
		b.refresh(time.Second)
		b.term.Store(4)
		_, err = b.start("w1")
		assert.ErrorContains(t, err, "newer term")
		assert.Equal(t, b.called[1].Load()+b.called[2].Load(), int64(0))
	})
}

// TestCancelledHoldEndsAtTheRelay guards against holds that go on at a worker after the leader has asked again.
func TestCancelledHoldEndsAtTheRelay(t *testing.T) {
	run(t, func(t *testing.T, b *testBench) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := b.client.Functions().Hold(ctx, &wire.CalledWorker{Id: "w0"}, &call.Hold{Wait: time.Second, Fence: call.Fence{Term: 3}})
		assert.ErrorIs(t, err, context.Canceled)
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, b.holding.Load(), int64(0))
		assert.Equal(t, b.client.Of("w0"), "m1:1")
	})
}

// TestCallOfAnEndedLeadershipIsNotRelayed guards against an order that is executed though its sender had given it up before, as the leadership had ended or a later incarnation of the worker was known.
func TestCallOfAnEndedLeadershipIsNotRelayed(t *testing.T) {
	run(t, func(t *testing.T, b *testBench) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 20 {
			_, err := b.client.Functions().Start(ctx, &wire.CalledWorker{Id: "w0", Address: "a:1"}, &call.Start{Fence: call.Fence{Term: 3}})
			assert.ErrorIs(t, err, context.Canceled)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, b.called[1].Load(), int64(0))
	})
}

// TestWorkersOfAFailedRelayAreCalledOtherwise guards against workers that stay without calls when their relay falls silent or cannot reach them.
func TestWorkersOfAFailedRelayAreCalledOtherwise(t *testing.T) {
	run(t, func(t *testing.T, b *testBench) {
		b.fail.Store(true)
		for range 3 {
			_, err := b.start("w0")
			assert.ErrorContains(t, err, "no route")
		}
		assert.Equal(t, b.client.Of("w0"), "m2:1")
		_, err := b.start("w0")
		assert.NilError(t, err)

		b.fabric.Cut("leader", "m2")
		began := time.Now()
		for _, err = b.start("w1"); err != nil; _, err = b.start("w1") {
			assert.Assert(t, time.Since(began) < 2*time.Second, "the worker of a silent relay was not called for %v: %v", time.Since(began), err)
			b.fail.Store(false)
			b.refresh(100 * time.Millisecond)
		}
		b.refresh(2 * time.Second)
		assert.Assert(t, b.client.Of("w1") != "m2:1", "a silent relay is still in use")
	})
}
