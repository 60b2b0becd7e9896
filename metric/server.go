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

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"
)

const (
	headerTimeout = 5 * time.Second
	closeTimeout  = 2 * time.Second
)

// Options says where a process shows its metrics and how it tells its health.
type Options struct {
	Address string         // IP:port; port 0 takes a free one
	Ready   func() error   // why the process is not ready for the balancer; nil means always ready
	Live    func() error   // why the process should be restarted; nil means always live
	Sets    []*metrics.Set // shown besides the process-wide metrics
}

// Server is the admin listener of one process.
type Server struct {
	options  Options
	listener net.Listener
	http     http.Server
	running  group.Group
}

// New listens and serves until Close; its error says that the address can't be listened on.
func New(o Options) (*Server, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("metric: %w", err)
	}
	s := &Server{options: o, listener: listener}
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/metrics", s.metrics)
	router.HandlerFunc(http.MethodGet, "/ready", health(o.Ready))
	router.HandlerFunc(http.MethodGet, "/live", health(o.Live))
	s.http = http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	s.running.Go(s.serve)
	return s, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops listening, waits for answers in progress for a while and cuts the rest.
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

// health answers 200 when check finds nothing, otherwise 503 with the reason.
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
