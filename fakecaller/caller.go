package fakecaller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"daisyswitch/event"
	"daisyswitch/standin"

	"github.com/sourcegraph/conc"
)

// Options configures the load.
type Options struct {
	Name      string   // prefix of each request id
	Entries   []string // addresses of the entries for callers
	Ready     []string // admin addresses in the same order, for readiness checks; empty treats all entries as ready
	Class     string
	Rate      float64 // requests a second
	Duration  time.Duration
	PostShare float64 // of non-idempotent requests, 0 to 1
	BodyBytes int     // of each POST
	Timeout   time.Duration
	Journal   string // file that records the outcome of each request; empty for none
	Seed      uint64
}

const (
	hungGrace   = 3 * time.Second // after the timeout of the request, before it counts as hung
	idleTimeout = 2 * time.Second
	dialTimeout = time.Second
	idlePerHost = 64
)

// Caller is a load generator.
type Caller struct {
	options  Options
	journal  *standin.Journal
	http     *http.Client
	balancer *balancer
	run      string // part of each request id; differs between runs

	mu      sync.Mutex // guards what follows
	random  *rand.Rand
	summary *Summary
}

// New returns a load generator. It fails if a required option is missing or the journal can't be opened.
func New(o Options) (*Caller, error) {
	if len(o.Entries) == 0 || o.Class == "" || o.Rate <= 0 {
		return nil, errors.New("fakecaller: Entries, Class and a Rate above 0 are required")
	}
	if len(o.Ready) > 0 && len(o.Ready) != len(o.Entries) {
		return nil, errors.New("fakecaller: Ready must be empty or have one admin address per entry")
	}
	journal, err := standin.OpenJournal(o.Journal)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
	return &Caller{
		options:  o,
		journal:  journal,
		http:     &http.Client{Transport: transport},
		balancer: newBalancer(o.Entries, o.Ready),
		run:      strconv.FormatInt(time.Now().UnixMicro(), 36),
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed)),
		summary:  newSummary(o.Class),
	}, nil
}

// Run sends requests until the duration has passed or ctx is done, waits for all responses and returns the summary.
func (c *Caller) Run(ctx context.Context) *Summary {
	checks, stopChecks := context.WithCancel(context.Background())
	var background, requests conc.WaitGroup
	background.Go(func() { c.balancer.watch(checks) })
	start := time.Now()
	due := time.Duration(0)
	for n := 0; due < c.options.Duration; n++ {
		if !waitUntil(ctx, start.Add(due)) {
			break
		}
		sequence, at, post := n, start.Add(due), c.randomFraction() < c.options.PostShare
		requests.Go(func() { c.request(sequence, at, post) })
		due += c.nextGap()
	}
	requests.Wait()
	stopChecks()
	background.Wait()
	c.summary.DurationMS = time.Since(start).Milliseconds()
	c.summary.finish()
	return c.summary
}

// Close closes idle connections and the journal.
func (c *Caller) Close() error {
	c.http.CloseIdleConnections()
	return c.journal.Close()
}

func (c *Caller) randomFraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

// nextGap returns an exponentially distributed time to the next request, so that requests arrive independently of each other.
func (c *Caller) nextGap() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.ExpFloat64() / c.options.Rate * float64(time.Second))
}

func waitUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

// request sends one request that was due at at and records its outcome.
func (c *Caller) request(sequence int, at time.Time, post bool) {
	r := request{
		id:     fmt.Sprintf("%s-%s-%d", c.options.Name, c.run, sequence),
		method: http.MethodGet,
	}
	if post {
		r.method = http.MethodPost
		r.body = fill(r.id, c.options.BodyBytes)
	}
	told := c.send(r)
	told.RequestID = r.id
	told.Class = c.options.Class
	told.Method = r.method
	told.Idempotent = !post
	told.DoneUS = time.Now().UnixMicro()
	if err := c.journal.Append(told); err != nil {
		event.StandinJournalFailed.Error(err)
		os.Exit(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.add(told, time.Since(at))
}

func fill(id string, length int) []byte {
	body := make([]byte, length)
	for i := range body {
		body[i] = id[i%len(id)]
	}
	return body
}
