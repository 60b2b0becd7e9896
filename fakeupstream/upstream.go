package fakeupstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"daisyswitch/event"
	"daisyswitch/standin"

	"github.com/sourcegraph/conc"
)

// Options configures a simulated upstream.
type Options struct {
	Name        string   // prefix of its id; process id and start time are appended, so that each run has a unique id
	Address     string   // IP:port for requests; port 0 selects a free port
	Admin       string   // IP:port of the admin interface; empty for none
	Domain      string   // failure domain
	Instance    string   // worker on the same machine; empty for none
	Classes     []string // classes served
	Entries     []string // platform addresses of the entries of its domain
	Slots       int
	Connections int
	QueueWait   time.Duration // longest wait for a slot before the request is refused
	LeaveWait   time.Duration // from announcing that it leaves to closing the listener
	Service     Distribution
	BodyBytes   int    // payload size of each response
	Journal     string // file of effects; empty for none
	Seed        uint64
}

const headerTimeout = 5 * time.Second

// Upstream is a running simulated upstream.
type Upstream struct {
	options        Options
	id             string
	listener       *limitedListener
	http           http.Server
	admin          *http.Server
	journal        *standin.Journal
	client         standin.Client
	slots          chan struct{}
	draw           *sampler
	running        conc.WaitGroup
	stop           context.CancelFunc
	wake           chan struct{} // triggers an immediate announcement
	leaveRequested chan struct{} // closed when the admin interface receives a leave request
	leaveOnce      sync.Once

	mu              sync.Mutex // guards what follows
	mode            Mode
	changed         chan struct{} // closed when the mode changes
	leaving         bool
	leaveAcceptedAt time.Time // when an entry accepted the announcement that it leaves
	inProgress      int       // number of requests that hold a slot
}

// New starts an upstream. It fails if a required option is missing, or if the journal or an address can't be opened.
func New(o Options) (*Upstream, error) {
	if len(o.Entries) == 0 || o.Slots < 1 || o.Connections < 1 {
		return nil, errors.New("fakeupstream: Entries must not be empty, and Slots and Connections must be at least 1")
	}
	journal, err := standin.OpenJournal(o.Journal)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("fakeupstream: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	u := &Upstream{
		options:        o,
		id:             fmt.Sprintf("%s.%d.%d", o.Name, os.Getpid(), time.Now().UnixMilli()),
		listener:       &limitedListener{Listener: listener, most: int64(o.Connections)},
		journal:        journal,
		client:         standin.Client{Entries: o.Entries},
		slots:          make(chan struct{}, o.Slots),
		draw:           newSampler(o.Service, o.Seed),
		stop:           stop,
		wake:           make(chan struct{}, 1),
		leaveRequested: make(chan struct{}),
		changed:        make(chan struct{}),
	}
	u.http = http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: headerTimeout}
	if err := u.listenAdmin(); err != nil {
		stop()
		listener.Close()
		return nil, err
	}
	u.running.Go(func() { u.serveOn(&u.http, u.listener) })
	u.running.Go(func() { u.announce(ctx) })
	return u, nil
}

// Address returns the IP:port on which the upstream serves requests.
func (u *Upstream) Address() string {
	return u.listener.Addr().String()
}

// RefusedConnections returns the number of connections closed because of the limit.
func (u *Upstream) RefusedConnections() int64 {
	return u.listener.refused.Load()
}

// LeaveRequested returns a channel that is closed when the admin interface receives a leave request. The owner then calls Leave.
func (u *Upstream) LeaveRequested() <-chan struct{} {
	return u.leaveRequested
}

func (u *Upstream) serveOn(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		event.ListenFailed.Error(err, "address", listener.Addr().String())
	}
}

// Leave announces that the upstream leaves, waits for LeaveWait so that the entries stop sending, and finishes the requests in progress.
func (u *Upstream) Leave(ctx context.Context) error {
	u.mu.Lock()
	already := u.leaving
	u.leaving = true
	u.mu.Unlock()
	if !already {
		u.record(standin.RequestEffect{Kind: standin.UpstreamLeaving})
		select {
		case u.wake <- struct{}{}:
		default:
		}
	}
	select {
	case <-time.After(u.options.LeaveWait):
	case <-ctx.Done():
	}
	return u.http.Shutdown(ctx)
}

// Close stops the upstream, aborts the requests in progress and waits for its goroutines.
func (u *Upstream) Close() error {
	u.mu.Lock()
	cut := u.inProgress
	u.mu.Unlock()
	u.record(standin.RequestEffect{Kind: standin.UpstreamStopped, InProgress: cut})
	u.stop()
	u.SetMode(Mode{})
	err := u.http.Close()
	if u.admin != nil {
		err = errors.Join(err, u.admin.Close())
	}
	u.running.Wait()
	return errors.Join(err, u.client.Close(), u.journal.Close())
}

// record completes an effect with the fields common to all and appends it to the journal. A journal error ends the process.
func (u *Upstream) record(e standin.RequestEffect) {
	e.TimeUS = time.Now().UnixMicro()
	e.Upstream = u.id
	if err := u.journal.Append(e); err != nil {
		event.StandinJournalFailed.Error(err)
		os.Exit(1)
	}
}
