package fakeworker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"daisyswitch/event"
	"daisyswitch/resource"
	"daisyswitch/standin"
	"daisyswitch/worker"

	"github.com/sourcegraph/conc"
)

// Options configures a simulated worker.
type Options struct {
	Name     string
	Domain   string // failure domain
	Rack     string
	Capacity resource.Size
	Entries  []string                                                             // platform addresses of the entries of its domain
	Poll     time.Duration                                                        // between polls
	Lag      time.Duration                                                        // delay of the reported use
	Scale    float64                                                              // factor on the declared run times
	FailAll  bool                                                                 // every task fails
	Journal  string                                                               // file of effects; empty for none
	Dial     func(ctx context.Context, network, address string) (net.Conn, error) // nil dials the network
}

const (
	stepInterval = 20 * time.Millisecond
	pollTimeout  = time.Second
	pollRetry    = 50 * time.Millisecond // before polling the next entry after a failure
)

// Worker is a running simulated worker.
type Worker struct {
	options     Options
	incarnation string
	journal     *standin.Journal
	client      standin.Client
	running     conc.WaitGroup
	stop        context.CancelFunc

	mu       sync.Mutex // guards what follows
	table    *table
	sequence uint64
}

// New starts a worker. It fails if a required option is missing or the journal can't be opened.
func New(o Options) (*Worker, error) {
	if o.Name == "" || len(o.Entries) == 0 || !o.Capacity.Valid() {
		return nil, errors.New("fakeworker: Name, at least one of Entries and a valid Capacity are required")
	}
	journal, err := standin.OpenJournal(o.Journal)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &Worker{
		options:     o,
		incarnation: fmt.Sprintf("%d.%d", os.Getpid(), time.Now().UnixMilli()),
		journal:     journal,
		client:      standin.Client{Entries: o.Entries, Dial: o.Dial},
		stop:        stop,
	}
	w.table = newTable(o, w.record)
	w.table.lastStep = time.Now()
	w.record(standin.TaskEffect{Kind: standin.TaskBooted})
	w.running.Go(func() { w.runSteps(ctx) })
	w.running.Go(func() { w.runPolls(ctx) })
	return w, nil
}

// record completes an effect with the fields common to all and appends it to the journal. A journal error ends the process.
func (w *Worker) record(e standin.TaskEffect) {
	e.TimeUS = time.Now().UnixMicro()
	e.Worker = w.options.Name
	e.Incarnation = w.incarnation
	e.Domain = w.options.Domain
	if err := w.journal.Append(e); err != nil {
		event.StandinJournalFailed.Error(err)
		os.Exit(1)
	}
}

// runSteps advances the tasks and enforces the lease at a fixed interval, independently of the polls.
func (w *Worker) runSteps(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.step()
		case <-ctx.Done():
			return
		}
	}
}

func (w *Worker) step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := !w.table.lease.IsZero()
	w.table.step(time.Now())
	if held && w.table.lease.IsZero() {
		event.StandinLeaseEnded.Info("worker", w.options.Name)
	}
}

// runPolls polls the entries in a loop, one poll at a time.
func (w *Worker) runPolls(ctx context.Context) {
	var last error
	for ctx.Err() == nil {
		wait := w.options.Poll
		err := w.poll(ctx)
		if err != nil {
			wait = pollRetry
		}
		if err != nil && last == nil && ctx.Err() == nil {
			event.StandinPollFailed.Error(err, "worker", w.options.Name)
		}
		last = err
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (w *Worker) poll(ctx context.Context) error {
	sent := time.Now()
	report := w.report(sent)
	var reply worker.Reply
	path := strings.Replace(worker.PollPath, ":name", w.options.Name, 1)
	if err := w.client.Post(ctx, path, pollTimeout, report, &reply); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	dropped := w.table.dropped
	w.table.applyReply(sent, time.Now(), reply)
	if w.table.dropped > dropped {
		event.StandinStartDropped.Info("worker", w.options.Name, "starts", w.table.dropped-dropped)
	}
	if reply.Refusal != "" {
		return errors.New(reply.Refusal)
	}
	return nil
}

func (w *Worker) report(now time.Time) worker.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return worker.Report{
		Name:        w.options.Name,
		Domain:      w.options.Domain,
		Rack:        w.options.Rack,
		Incarnation: w.incarnation,
		Sequence:    w.sequence,
		Capacity:    w.options.Capacity,
		Leaving:     w.table.leaving,
		Tasks:       w.table.report(now),
	}
}

// Leave checkpoints and stops all tasks, then keeps reporting until control has recorded their ends or ctx is done.
func (w *Worker) Leave(ctx context.Context) error {
	w.mu.Lock()
	w.table.leaving = true
	w.table.stopAll(time.Now(), standin.ReasonLeaving, true)
	w.mu.Unlock()
	for {
		w.mu.Lock()
		left := len(w.table.tasks)
		w.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-time.After(stepInterval):
		case <-ctx.Done():
			return fmt.Errorf("control has not yet recorded the end of %d attempts: %w", left, ctx.Err())
		}
	}
}

// Close stops the worker and all its tasks, and waits for its goroutines.
func (w *Worker) Close() error {
	w.stop()
	w.running.Wait()
	w.mu.Lock()
	w.table.stopAll(time.Now(), standin.ReasonLeaving, true)
	w.mu.Unlock()
	return errors.Join(w.client.Close(), w.journal.Close())
}
