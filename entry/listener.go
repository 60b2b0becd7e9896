package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"daisyswitch/event"
	"daisyswitch/group"
	"daisyswitch/settings"
)

const (
	idleTime  = 2 * time.Minute  // of a caller's connection between requests
	finishMax = 30 * time.Second // longest wait for requests in progress at a stop
)

// listener is one HTTP listener of the entry.
type listener struct {
	name   string
	server *http.Server
	wait   group.Group
}

func newListener(name string, handler http.Handler, limits settings.Limits) *listener {
	return &listener{name: name, server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutMS) * time.Millisecond,
		MaxHeaderBytes:    int(limits.HeaderBytes),
		IdleTimeout:       idleTime,
	}}
}

func (l *listener) start(address string) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", l.name, err)
	}
	l.wait.Go(func() {
		if err := l.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			event.ListenFailed.Error(err, "listener", l.name, "address", address)
		}
	})
	return nil
}

// close takes no new requests and waits for those in progress.
func (l *listener) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), finishMax)
	defer cancel()
	err := l.server.Shutdown(ctx)
	l.wait.Wait()
	if err != nil {
		return fmt.Errorf("stop listener for %s: %w", l.name, err)
	}
	return nil
}
