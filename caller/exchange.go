package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"daisyswitch/class"
	"daisyswitch/event"
	"daisyswitch/guard"
	"daisyswitch/queue"
	"daisyswitch/refusal"
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
	class    *class.Class
	body     *requestBody
	attempts int   // requests that were sent, or may have been
	mayRun   bool  // an attempt may have had its effect
	silent   bool  // the last attempt failed by its connection, not by its upstream
	cause    error // of the last failure, for operators
	skip     []string
}

// serve handles the request from its terms to the last byte of its answer.
func (x *exchange) serve() {
	refused := x.admit()
	if refused == nil {
		refused = x.forward()
	}
	if refused == nil {
		return
	}
	x.count(verdict.Parse(refused.Verdict))
	countRefusal(refused.Code)
	if refused.Verdict != verdict.NotRun.String() {
		event.AnswerLost.Error(x.cause, "class", x.terms.class, "request", x.requestID, "verdict", refused.Verdict, "code", refused.Code)
	}
	if x.bodyLeft() {
		// Else the server would wait for the rest of the body before it lets the refusal go.
		x.w.Header().Set("Connection", "close")
	}
	refused.Write(x.w)
}

// bodyLeft reports whether a part of the body is still with the caller.
func (x *exchange) bodyLeft() bool {
	if x.body == nil {
		return x.r.Body != http.NoBody
	}
	return !x.body.whole()
}

// count notes the end of the request.
func (x *exchange) count(v verdict.Verdict) {
	x.front.classes.Count(x.class, v, time.Since(x.began))
}

// admit checks the request and reads a small body whole, before it takes a slot.
func (x *exchange) admit() *refusal.Refusal {
	if err := errors.Join(checkShape(x.r), guard.Of(x.r).CheckHead(x.r)); err != nil {
		return refusal.NotRun(http.StatusBadRequest, refusal.BadRequest, err.Error())
	}
	var err error
	if x.terms, err = parseTerms(x.r); err != nil {
		return refusal.NotRun(http.StatusBadRequest, refusal.BadRequest, err.Error())
	}
	if !x.front.classes.Ready() {
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.NoConfiguration, "no configuration has arrived yet")
	}
	if x.class = x.front.classes.Find(x.terms.class); x.class == nil {
		return refusal.NotRun(http.StatusNotFound, refusal.UnknownClass, "no class has this name")
	}
	if x.timeout == 0 {
		x.timeout = x.front.options.RequestTimeout
	}
	return x.readBody()
}

// forward offers the request to upstreams until one answers or no further attempt is allowed.
func (x *exchange) forward() *refusal.Refusal {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.began.Add(x.timeout))
	defer cancel()
	x.front.budget.Request(x.began)
	var last *refusal.Refusal
	for range maxAttempts {
		slot, err := x.acquire(ctx)
		if err != nil {
			return x.soften(x.notAcquired(err, last))
		}
		refused, again := x.try(ctx, slot)
		if refused == nil {
			return nil
		}
		last = refused
		if !again {
			break
		}
		if !x.silent {
			x.skip = append(x.skip, slot.ID())
		}
	}
	return x.soften(last)
}

// soften makes sure that nothing is called not-run after an attempt that may have run.
func (x *exchange) soften(f *refusal.Refusal) *refusal.Refusal {
	if x.mayRun && f.Verdict == verdict.NotRun.String() {
		f.Verdict = verdict.Unknown.String()
	}
	return f
}

func (x *exchange) acquire(ctx context.Context) (*upstream.Slot, error) {
	wait := x.front.options.QueueTimeout
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)-x.class.Usual())
	}
	return x.front.queue.Acquire(ctx, queue.Request{Class: x.class.Order(), Skip: x.skip, Wait: wait})
}

// notAcquired turns a queue's refusal into an answer; after a failed attempt it is that attempt's.
func (x *exchange) notAcquired(err error, last *refusal.Refusal) *refusal.Refusal {
	if last != nil {
		return last
	}
	switch {
	case errors.Is(err, queue.ErrAbsent):
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.NoUpstream, reason(err))
	case errors.Is(err, queue.ErrGone):
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.CallerGone, reason(err))
	default:
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.Busy, reason(err))
	}
}

// reason is what callers are told of err; its cause, which may name addresses, is for operators.
func reason(err error) string {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return "internal error"
}

// try sends the request to the slot's upstream and relays its answer. It reports whether a refusal may be retried elsewhere.
func (x *exchange) try(ctx context.Context, slot *upstream.Slot) (refused *refusal.Refusal, again bool) {
	defer slot.Release()
	answer, err := slot.Do(ctx, x.outgoing(slot.Address()))
	if err != nil {
		return x.failed(ctx, err)
	}
	defer answer.Close()
	x.attempts++
	if refusedByProtocol(answer) {
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.UpstreamRefused, "the upstream refused the request"), x.mayRetry()
	}
	return x.relay(ctx, answer)
}

// refusedByProtocol reports whether the upstream says that it did not run the request.
func refusedByProtocol(a *transport.Answer) bool {
	return a.StatusCode == http.StatusServiceUnavailable && a.Header.Get(refusal.Header) == verdict.NotRun.String()
}

// failed handles an attempt without an answer.
func (x *exchange) failed(ctx context.Context, err error) (refused *refusal.Refusal, again bool) {
	x.cause = err
	v := verdict.Of(err)
	if v == verdict.NotRun {
		if ctx.Err() == nil {
			return refusal.NotRun(http.StatusServiceUnavailable, refusal.UpstreamFailed, reason(err)), x.body.replayable()
		}
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.Timeout, "the deadline passed before the request was sent"), false
	}
	x.attempts++
	x.mayRun = true
	if slow := x.body.fault(); slow != nil {
		return slow, false
	}
	if ctx.Err() != nil {
		return refusal.New(http.StatusGatewayTimeout, v, refusal.Timeout, "the deadline passed before an answer came"), false
	}
	x.silent = errors.Is(err, transport.ErrSilent)
	again = x.silent || x.idempotent && x.mayRetry() // a silent one was asked for before it was given up
	return refusal.New(http.StatusBadGateway, v, refusal.UpstreamFailed, reason(err)), again
}

// mayRetry reports whether the request can be sent again, and takes from the retry budget if so.
func (x *exchange) mayRetry() bool {
	if !x.body.replayable() || x.r.Context().Err() != nil || x.attempts >= maxAttempts {
		return false
	}
	if !x.front.budget.Retry(time.Now()) {
		return false
	}
	x.class.Retries.Inc()
	return true
}
