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
	"daisyswitch/ingress"
	"daisyswitch/settings"
)

const (
	idleTimeout     = 2 * time.Minute  // longest time that a connection may stay open between requests
	shutdownTimeout = 30 * time.Second // longest wait for requests in progress at shutdown
	maxBodyBytes    = 8 << 20          // on the addresses for the platform and operators; some handlers allow less
)

// The shares of the process's connections for clients, in eighths.
const (
	callerShare   = 4
	platformShare = 3
	operatorShare = 1
)

// listener is an HTTP server of the entry on its own address.
type listener struct {
	name    string
	clients *ingress.Process
	share   int
	server  *http.Server
	wait    group.Group
}

func newListener(name string, handler http.Handler, limits settings.Limits, clients *ingress.Process, share int) *listener {
	return &listener{name: name, clients: clients, share: share, server: &http.Server{
		Handler:           clients.Handler(handler, maxBodyBytes),
		ConnContext:       ingress.ConnContext,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutMS) * time.Millisecond,
		MaxHeaderBytes:    int(limits.HeaderBytes),
		IdleTimeout:       idleTimeout,
	}}
}

func (l *listener) start(address string) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", l.name, err)
	}
	l.wait.Go(func() {
		if err := l.server.Serve(l.clients.Listen(socket, l.share)); !errors.Is(err, http.ErrServerClosed) {
			event.ListenFailed.Error(err, "listener", l.name, "address", address)
		}
	})
	return nil
}

// close stops accepting requests and waits for those in progress.
func (l *listener) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := l.server.Shutdown(ctx)
	l.wait.Wait()
	if err != nil {
		return fmt.Errorf("stop listener for %s: %w", l.name, err)
	}
	return nil
}
