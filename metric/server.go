package metric

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

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"
)

const (
	headerTimeout = 5 * time.Second
	closeTimeout  = 2 * time.Second
	maxBody       = 4 << 10 // bytes of a request, which has none
)

// Options configures the admin listener and the health checks of a process.
type Options struct {
	Address string           // IP:port; port 0 selects a free port
	Ready   func() error     // returns why the process is not ready for the load balancer; nil means always ready
	Live    func() error     // returns why the process should be restarted; nil means always live
	Sets    []*metrics.Set   // served in addition to the process-wide metrics
	Ingress *ingress.Process // limits for clients; ingress.Default if nil
}

// Server is the admin listener of one process.
type Server struct {
	options  Options
	listener net.Listener
	http     http.Server
	running  group.Group
}

// New starts a server that runs until Close. It returns an error if it can't listen on the address.
func New(o Options) (*Server, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("metric: %w", err)
	}
	if o.Ingress == nil {
		o.Ingress = ingress.Default()
	}
	s := &Server{options: o, listener: o.Ingress.ListenReserved(listener)}
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/metrics", s.metrics)
	router.HandlerFunc(http.MethodGet, "/ready", health(o.Ready))
	router.HandlerFunc(http.MethodGet, "/live", health(o.Live))
	s.http = http.Server{
		Handler: o.Ingress.Handler(router, maxBody), ReadHeaderTimeout: headerTimeout, IdleTimeout: ingress.IdleTimeout, MaxHeaderBytes: ingress.MaxHeadBytes,
		ConnContext: ingress.ConnContext,
	}
	s.running.Go(s.serve)
	return s, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops listening and waits up to closeTimeout for responses in progress, then closes their connections.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = s.http.Close()
	}
	s.running.Wait()
	return err
}

func (s *Server) serve() {
	err := s.http.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		event.ListenFailed.Error(err, "address", s.Address())
	}
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WritePrometheus(w, true)
	for _, set := range s.options.Sets {
		set.WritePrometheus(w)
	}
}

// health responds with 200 if check returns nil, otherwise with 503 and the reason.
func health(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if check == nil {
			fmt.Fprintln(w, "ok")
			return
		}
		if err := check(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	}
}
