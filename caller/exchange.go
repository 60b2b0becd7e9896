package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"daisyswitch/queue"
	"daisyswitch/transport"
	"daisyswitch/upstream"
	"daisyswitch/verdict"
)

// maxAttempts bounds the upstreams that one request may be offered to.
const maxAttempts = 4

// exchange is one request of a caller and its answer.
type exchange struct {
	terms
	front    *Front
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	began    time.Time
	class    *class
	body     *requestBody
	attempts int  // requests that were sent, or may have been
	mayRun   bool // an attempt may have had its effect
	skip     []string
}

// serve handles the request from its terms to the last byte of its answer.
func (x *exchange) serve() {
	refusal := x.admit()
	if refusal == nil {
		refusal = x.forward()
	}
	if refusal == nil {
		return
	}
	x.count(verdict.Parse(refusal.Verdict))
	if !x.body.whole() {
		x.w.Header().Set("Connection", "close")
	}
	refusal.write(x.w)
}

// count notes the end of the request.
func (x *exchange) count(v verdict.Verdict) {
	x.front.classes.count(x.class, v, time.Since(x.began))
}

// admit checks the request and reads a small body whole, before it takes a slot.
func (x *exchange) admit() *Refusal {
	x.body = &requestBody{}
	if err := errors.Join(checkShape(x.r), connOf(x.r).checkHead(x.r)); err != nil {
		return notRun(http.StatusBadRequest, CodeBadRequest, err.Error())
	}
	var err error
	if x.terms, err = parseTerms(x.r); err != nil {
		return notRun(http.StatusBadRequest, CodeBadRequest, err.Error())
	}
	if !x.front.classes.ready() {
		return notRun(http.StatusServiceUnavailable, CodeNoConfiguration, "no configuration has arrived yet")
	}
	if x.class = x.front.classes.find(x.terms.class); x.class == nil {
		return notRun(http.StatusNotFound, CodeUnknownClass, "no class has this name")
	}
	if x.timeout == 0 {
		x.timeout = x.front.options.RequestTimeout
	}
	return x.readBody()
}

// forward offers the request to upstreams until one answers or no further attempt is allowed.
func (x *exchange) forward() *Refusal {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.began.Add(x.timeout))
	defer cancel()
	x.front.budget.request(x.began)
	var last *Refusal
	for range maxAttempts {
		slot, err := x.acquire(ctx)
		if err != nil {
			return x.soften(x.notAcquired(err, last))
		}
		refusal, again := x.try(ctx, slot)
		if refusal == nil {
			return nil
		}
		last = refusal
		if !again {
			break
		}
		x.skip = append(x.skip, slot.ID())
	}
	return x.soften(last)
}

// soften makes sure that nothing is called not-run after an attempt that may have run.
func (x *exchange) soften(f *Refusal) *Refusal {
	if x.mayRun && f.Verdict == verdict.NotRun.String() {
		f.Verdict = verdict.Unknown.String()
	}
	return f
}

func (x *exchange) acquire(ctx context.Context) (*upstream.Slot, error) {
	wait := x.front.options.QueueTimeout
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)-x.class.usual())
	}
	return x.front.queue.Acquire(ctx, queue.Request{Class: x.class.queueClass(), Skip: x.skip, Wait: wait})
}

// notAcquired turns a queue's refusal into an answer; after a failed attempt it is that attempt's.
func (x *exchange) notAcquired(err error, last *Refusal) *Refusal {
	if last != nil {
		return last
	}
	switch {
	case errors.Is(err, queue.ErrAbsent):
		return notRun(http.StatusServiceUnavailable, CodeNoUpstream, err.Error())
	case errors.Is(err, queue.ErrGone):
		return notRun(http.StatusServiceUnavailable, CodeCallerGone, err.Error())
	default:
		return notRun(http.StatusServiceUnavailable, CodeBusy, err.Error())
	}
}

// try sends the request to the slot's upstream and relays its answer. It reports whether a refusal may be retried elsewhere.
func (x *exchange) try(ctx context.Context, slot *upstream.Slot) (refusal *Refusal, again bool) {
	defer slot.Release()
	answer, err := slot.Do(ctx, x.outgoing(slot.Address()))
	if err != nil {
		return x.failed(ctx, err)
	}
	defer answer.Close()
	x.attempts++
	if refusedByProtocol(answer) {
		return notRun(http.StatusServiceUnavailable, CodeUpstreamRefused, "the upstream refused the request"), x.mayRetry()
	}
	return x.relay(ctx, answer)
}

// refusedByProtocol reports whether the upstream says that it did not run the request.
func refusedByProtocol(a *transport.Answer) bool {
	return a.StatusCode == http.StatusServiceUnavailable && a.Header.Get(VerdictHeader) == verdict.NotRun.String()
}

// failed handles an attempt without an answer.
func (x *exchange) failed(ctx context.Context, err error) (refusal *Refusal, again bool) {
	v := verdict.Of(err)
	if v == verdict.NotRun {
		if ctx.Err() == nil {
			return notRun(http.StatusServiceUnavailable, CodeUpstreamFailed, err.Error()), x.body.replayable()
		}
		return notRun(http.StatusServiceUnavailable, CodeTimeout, "the deadline passed before the request was sent"), false
	}
	x.attempts++
	x.mayRun = true
	if slow := x.body.refusal(); slow != nil {
		return slow, false
	}
	if ctx.Err() != nil {
		return refuse(http.StatusGatewayTimeout, v, CodeTimeout, "the deadline passed before an answer came"), false
	}
	return refuse(http.StatusBadGateway, v, CodeUpstreamFailed, err.Error()), x.idempotent && x.mayRetry()
}

// mayRetry reports whether the request can be sent again, and takes from the retry budget if so.
func (x *exchange) mayRetry() bool {
	if !x.body.replayable() || x.r.Context().Err() != nil || x.attempts >= maxAttempts {
		return false
	}
	if !x.front.budget.retry(time.Now()) {
		return false
	}
	x.class.retries.Inc()
	return true
}
