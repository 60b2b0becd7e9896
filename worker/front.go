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
	maxReportBytes    = 8 << 20
	heartbeatInterval = time.Second // a batch without reports, which carries the latency samples, goes to control at this interval
	reportTimeout     = 900 * time.Millisecond
	maxSenders        = 2 // concurrent batches; polls wait for the next batch while all senders are busy
)

// Options configures a Front.
type Options struct {
	Entry   string
	Domain  string
	Report  func(context.Context, *wire.ReportBatch) (*wire.ReportBatchReply, error)
	Version func() uint64                // configuration version active at this entry
	Samples func() []*wire.ServiceSample // latencies of callers' requests since the last call
}

// Front sends workers' polls to control in batches, so that control's request rate grows with the number of entries and not of workers.
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
	result chan result
}

type result struct {
	reply *wire.WorkerReply
	err   error
}

// New returns a front and starts its goroutines, which send batches to control until Close.
func New(o Options) *Front {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Front{options: o, ctx: ctx, cancel: cancel, wake: make(chan struct{}, maxSenders)}
	f.wait.Go(f.sendHeartbeats)
	for range maxSenders {
		f.wait.Go(f.sendPending)
	}
	return f
}

// Poll answers one worker's poll with its lease and orders.
func (f *Front) Poll(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	report, err := decodeReport(w, r, params.ByName("name"))
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, verdict.New(verdict.NotRun, err.Error(), nil))
		return
	}
	p := &poll{report: report, result: make(chan result, 1)}
	f.enqueue(p)
	select {
	case res := <-p.result:
		f.writeReply(w, res)
	case <-r.Context().Done():
	case <-f.ctx.Done():
		writeRefusal(w, http.StatusServiceUnavailable, verdict.New(verdict.Unknown, "this entry is stopping", nil))
	}
}

func decodeReport(w http.ResponseWriter, r *http.Request, name string) (*wire.WorkerReport, error) {
	var report Report
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReportBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&report); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if report.Name != name {
		return nil, fmt.Errorf("report: name %q does not match the name %q in the path", report.Name, name)
	}
	return reportToWire(&report)
}

func (f *Front) writeReply(w http.ResponseWriter, res result) {
	if res.err != nil {
		var known *verdict.Error
		if !errors.As(res.err, &known) {
			known = verdict.New(verdict.Unknown, "control gave no answer", res.err)
		}
		writeRefusal(w, http.StatusServiceUnavailable, known)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(replyFromWire(res.reply))
}

func writeRefusal(w http.ResponseWriter, status int, err *verdict.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Daisyswitch-Verdict", err.Verdict.String())
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Reply{Refusal: err.Error()})
}

func (f *Front) enqueue(p *poll) {
	f.mu.Lock()
	f.pending = append(f.pending, p)
	f.mu.Unlock()
	f.wakeSender()
}

func (f *Front) wakeSender() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Front) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.sendBatch(nil, f.options.Samples())
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Front) sendPending() {
	for {
		select {
		case <-f.wake:
			if polls := f.takePending(); len(polls) > 0 {
				f.sendBatch(polls, nil)
			}
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Front) takePending() []*poll {
	f.mu.Lock()
	defer f.mu.Unlock()
	polls := f.pending
	f.pending = nil
	return polls
}

// sendBatch sends one batch to control and delivers to each poll its own reply, or the error of the batch to all.
func (f *Front) sendBatch(polls []*poll, samples []*wire.ServiceSample) {
	ctx, cancel := context.WithTimeout(f.ctx, reportTimeout)
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
			p.result <- result{err: err}
			continue
		}
		p.result <- result{reply: reply.Replies[i]}
	}
}

// Close stops the front's goroutines and waits for them; open polls are answered with 503.
func (f *Front) Close() error {
	f.cancel()
	f.wait.Wait()
	return nil
}
