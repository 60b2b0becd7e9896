package leader_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/inner"
	"daisyswitch/leader"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// fakeControl is a control replica that counts proposals and answers them with a function, which receives the count.
type fakeControl struct {
	wire.DRPCControlUnimplementedServer
	answer func(ctx context.Context, attempt int) (*wire.ProposeReply, error)
	calls  int
}

func (f *fakeControl) Propose(ctx context.Context, _ *wire.ProposeRequest) (*wire.ProposeReply, error) {
	f.calls++
	return f.answer(ctx, f.calls)
}

func newPool(t *testing.T, controls map[string]*fakeControl) *inner.Pool {
	dial := func(_ context.Context, address string) (net.Conn, error) {
		control := controls[address]
		if control == nil {
			return nil, errors.New("refused")
		}
		mux := drpcmux.New()
		if err := wire.DRPCRegisterControl(mux, control); err != nil {
			return nil, err
		}
		clientEnd, serverEnd := net.Pipe()
		go func() { _ = drpcserver.New(mux).ServeOne(t.Context(), serverEnd) }()
		return clientEnd, nil
	}
	return inner.New(inner.Options{Dial: dial})
}

func acceptAlways(context.Context, int) (*wire.ProposeReply, error) {
	return &wire.ProposeReply{Result: &wire.CommandResult{Change: &wire.ChangeResult{Version: 9}}}, nil
}

func redirectTo(to string) func(context.Context, int) (*wire.ProposeReply, error) {
	return func(context.Context, int) (*wire.ProposeReply, error) {
		return &wire.ProposeReply{Failure: &wire.Failure{Verdict: wire.Verdict_VERDICT_NOT_RUN, Leader: to}}, nil
	}
}

func neverAnswer(ctx context.Context, _ int) (*wire.ProposeReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func propose(t *testing.T, controls map[string]*fakeControl, addresses ...string) (*wire.CommandResult, error) {
	p := newPool(t, controls)
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return leader.New(p, addresses).Propose(ctx, &wire.Command{})
}

func TestRedirectIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controls := map[string]*fakeControl{"a": {answer: redirectTo("c")}, "c": {answer: acceptAlways}}
		result, err := propose(t, controls, "a", "b", "c")
		assert.NilError(t, err)
		assert.Equal(t, result.Change.Version, uint64(9))
		assert.Equal(t, controls["a"].calls, 1)
	})
}

func TestSilentLeaderIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controls := map[string]*fakeControl{"a": {answer: neverAnswer}, "b": {answer: acceptAlways}}
		start := time.Now()
		_, err := propose(t, controls, "a", "b")
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) < 3*time.Second)
	})
}

// TestVerdictRemembersAnUnknownAttempt loses the answer of the first attempt and refuses all later ones. The verdict must stay Unknown, since the first attempt may have run.
func TestVerdictRemembersAnUnknownAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loseFirst := func(_ context.Context, attempt int) (*wire.ProposeReply, error) {
			if attempt == 1 {
				return nil, errors.New("lost")
			}
			return redirectTo("")(nil, attempt)
		}
		_, err := propose(t, map[string]*fakeControl{"a": {answer: loseFirst}}, "a")
		assert.Equal(t, verdict.Of(err), verdict.Unknown)
	})
}

func TestNothingReachedIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, err := propose(t, nil, "a", "b")
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
	})
}
