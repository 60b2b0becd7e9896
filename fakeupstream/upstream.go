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

// Options says what the upstream is and whom it announces itself to.
type Options struct {
	Name        string   // its id; the process's start is added, so that each run has its own
	Address     string   // IP:port for entries; port 0 takes a free one
	Admin       string   // IP:port of its own admin interface; empty for none
	Domain      string   // failure domain
	Instance    string   // worker whose machine it shares; empty for none
	Classes     []string // classes that it serves
	Entries     []string // platform addresses of its domain's entries
	Slots       int
	Connections int
	QueueWait   time.Duration // longest wait for a slot before a refusal
	LeaveWait   time.Duration // between saying that it leaves and closing
	Service     Distribution
	BodyBytes   int    // of each answer's filling
	Journal     string // file of effects; empty for none
	Seed        uint64
}

const headerTimeout = 5 * time.Second

// Upstream is one running stand-in.
type Upstream struct {
	options  Options
	id       string
	listener *limited
	http     http.Server
	admin    *http.Server
	journal  *standin.Journal
	client   standin.Client
	slots    chan struct{}
	draw     *sampler
	running  conc.WaitGroup
	stop     context.CancelFunc
	wake     chan struct{} // an announcement is due at once
	told     chan struct{} // closed when told over the admin interface to leave
	toldOnce sync.Once

	mu       sync.Mutex // guards what follows
	mode     Mode
	changed  chan struct{} // closed when the mode changes
	leaving  bool
	left     time.Time // when an entry took the announcement that it leaves
	progress int       // requests in a slot
}

// New starts an upstream; its error says what can't be opened or listened on.
func New(o Options) (*Upstream, error) {
	if len(o.Entries) == 0 || o.Slots < 1 || o.Connections < 1 {
		return nil, errors.New("fakeupstream: entries, slots and connections are needed")
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
		options:  o,
		id:       fmt.Sprintf("%s.%d.%d", o.Name, os.Getpid(), time.Now().UnixMilli()),
		listener: &limited{Listener: listener, most: int64(o.Connections)},
		journal:  journal,
		client:   standin.Client{Entries: o.Entries},
		slots:    make(chan struct{}, o.Slots),
		draw:     newSampler(o.Service, o.Seed),
		stop:     stop,
		wake:     make(chan struct{}, 1),
		told:     make(chan struct{}),
		changed:  make(chan struct{}),
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

// Address returns the IP:port that entries reach it by.
func (u *Upstream) Address() string {
	return u.listener.Addr().String()
}

// RefusedConnections counts connections beyond the limit.
func (u *Upstream) RefusedConnections() int64 {
	return u.listener.refused.Load()
}

// Told is closed when the upstream was told over its admin interface to leave; its owner then calls Leave.
func (u *Upstream) Told() <-chan struct{} {
	return u.told
}

func (u *Upstream) serveOn(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		event.ListenFailed.Error(err, "address", listener.Addr().String())
	}
}

// Leave says that it is leaving, waits while entries learn of it, and finishes what is in progress.
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

// Close ends the upstream, cutting what is still in progress, and waits.
func (u *Upstream) Close() error {
	u.mu.Lock()
	cut := u.progress
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

// record fills in what is common to all effects; a journal that fails ends the process.
func (u *Upstream) record(e standin.RequestEffect) {
	e.TimeUS = time.Now().UnixMicro()
	e.Upstream = u.id
	if err := u.journal.Append(e); err != nil {
		event.StandinJournalFailed.Error(err)
		os.Exit(1)
	}
}
