package inner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"

	"daisyswitch/event"
	"daisyswitch/group"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server serves drpc calls from other processes.
type Server struct {
	listener net.Listener
	cancel   context.CancelFunc
	serving  group.Group
}

// ListenTCP returns a TCP listener on address.
func ListenTCP(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Listen serves mux on a listener that listen opens at address, until Close.
func Listen(listen func(address string) (net.Listener, error), address string, mux *drpcmux.Mux) (*Server, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("listen for other processes: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, cancel: cancel}
	server := drpcserver.New(containPanics{mux})
	s.serving.Go(func() {
		err := server.Serve(ctx, listener)
		if err != nil && !errors.Is(err, net.ErrClosed) && ctx.Err() == nil {
			event.ListenFailed.Error(err, "address", address)
		}
	})
	return s, nil
}

// containPanics is a handler of calls whose panics end the call instead of the process. Handlers change state only through commands and under locks that are released on a panic.
type containPanics struct {
	drpc.Handler
}

// HandleRPC handles one call.
func (c containPanics) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("call of %s panicked: %v", rpc, cause)
			event.CallPanicked.Error(err, "call", rpc, "stack", string(debug.Stack()))
		}
	}()
	return c.Handler.HandleRPC(stream, rpc)
}

// Address returns where the server listens, host:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close cancels all calls and waits for them to end.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.serving.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
