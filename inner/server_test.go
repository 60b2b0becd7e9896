package inner_test

import (
	"context"
	"testing"

	"daisyswitch/inner"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
)

// panickingControl panics in every read.
type panickingControl struct {
	wire.DRPCControlUnimplementedServer
}

func (*panickingControl) Read(context.Context, *wire.ReadRequest) (*wire.ReadReply, error) {
	panic("injected")
}

// TestPanicInACallEndsTheCallOnly checks that a call that panics fails, and that the server answers the next one.
func TestPanicInACallEndsTheCallOnly(t *testing.T) {
	mux := drpcmux.New()
	assert.NilError(t, wire.DRPCRegisterControl(mux, &panickingControl{}))
	server, err := inner.Listen(inner.ListenTCP, "127.0.0.1:0", mux)
	assert.NilError(t, err)
	defer server.Close()
	pool := inner.New(inner.Options{})
	defer pool.Close()
	for range 3 {
		err := pool.Do(t.Context(), server.Address(), func(conn *drpcconn.Conn) error {
			_, err := wire.NewDRPCControlClient(conn).Read(t.Context(), &wire.ReadRequest{})
			return err
		})
		assert.ErrorContains(t, err, "panicked")
	}
}
