package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"daisyswitch/group"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"github.com/julienschmidt/httprouter"
)

const (
	maxReportBytes = 8 << 20
	heartbeatEvery = time.Second // a batch goes to control at least this often, with or without reports
	reportTime     = 900 * time.Millisecond
	maxSenders     = 2 // batches in progress; reports gather while all are busy
)

// Options configures a Front.
type Options struct {
	Entry   string
	Domain  string
	Report  func(context.Context, *wire.ReportBatch) (*wire.ReportBatchReply, error)
	Version func() uint64                // configuration version in force at this entry
	Samples func() []*wire.ServiceSample // what callers saw since the last call
}

// Front gathers workers' polls into batches, so that control's fan-in grows with entries and not with workers.
type Front struct {
	options Options
	cancel  context.CancelFunc
	ctx     context.Context
	wake    chan struct{}
	wait    group.Group

	mu      sync.Mutex
	pending []*poll
}

type poll struct {
	report *wire.WorkerReport
	answer chan answer
}

type answer struct {
	reply *wire.WorkerReply
	err   error
}

// New starts the senders of a front.
func New(o Options) *Front {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Front{options: o, ctx: ctx, cancel: cancel, wake: make(chan struct{}, maxSenders)}
	f.wait.Go(f.heartbeat)
	for range maxSenders {
		f.wait.Go(f.send)
	}
	return f
}

// Poll answers one worker's poll with its lease and orders.
func (f *Front) Poll(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	report, err := decode(w, r, params.ByName("name"))
	if err != nil {
		fail(w, http.StatusBadRequest, verdict.New(verdict.NotRun, err.Error(), nil))
		return
	}
	p := &poll{report: report, answer: make(chan answer, 1)}
	f.add(p)
	select {
	case a := <-p.answer:
		f.respond(w, a)
	case <-r.Context().Done():
	case <-f.ctx.Done():
		fail(w, http.StatusServiceUnavailable, verdict.New(verdict.Unknown, "this entry is stopping", nil))
	}
}

func decode(w http.ResponseWriter, r *http.Request, name string) (*wire.WorkerReport, error) {
	var report Report
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReportBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&report); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if report.Name != name {
		return nil, fmt.Errorf("report: name %q is not the path's %q", report.Name, name)
	}
	return toWire(&report)
}

func (f *Front) respond(w http.ResponseWriter, a answer) {
	if a.err != nil {
		var known *verdict.Error
		if !errors.As(a.err, &known) {
			known = verdict.New(verdict.Unknown, "control gave no answer", a.err)
		}
		fail(w, http.StatusServiceUnavailable, known)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(fromWire(a.reply))
}

func fail(w http.ResponseWriter, status int, err *verdict.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Daisyswitch-Verdict", err.Verdict.String())
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Reply{Refusal: err.Error()})
}

func (f *Front) add(p *poll) {
	f.mu.Lock()
	f.pending = append(f.pending, p)
	f.mu.Unlock()
	f.notify()
}

func (f *Front) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Front) heartbeat() {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.exchange(nil, f.options.Samples())
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Front) send() {
	for {
		select {
		case <-f.wake:
			if polls := f.take(); len(polls) > 0 {
				f.exchange(polls, nil)
			}
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Front) take() []*poll {
	f.mu.Lock()
	defer f.mu.Unlock()
	polls := f.pending
	f.pending = nil
	return polls
}

// exchange sends one batch and hands each poll its own reply.
func (f *Front) exchange(polls []*poll, samples []*wire.ServiceSample) {
	ctx, cancel := context.WithTimeout(f.ctx, reportTime)
	defer cancel()
	batch := &wire.ReportBatch{Entry: f.options.Entry, Domain: f.options.Domain, Version: f.options.Version(), Samples: samples}
	for _, p := range polls {
		batch.Reports = append(batch.Reports, p.report)
	}
	reply, err := f.options.Report(ctx, batch)
	if err == nil && len(reply.Replies) != len(polls) {
		err = fmt.Errorf("control answered %d of %d reports", len(reply.Replies), len(polls))
	}
	for i, p := range polls {
		if err != nil {
			p.answer <- answer{err: err}
			continue
		}
		p.answer <- answer{reply: reply.Replies[i]}
	}
}

// Close ends the senders and waits.
func (f *Front) Close() error {
	f.cancel()
	f.wait.Wait()
	return nil
}
