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

// maxAttempts bounds how many upstreams one request is tried on.
const maxAttempts = 4

// exchange is one request of a caller and its response.
type exchange struct {
	requestParams
	front           *Front
	w               http.ResponseWriter
	r               *http.Request
	control         *http.ResponseController
	startedAt       time.Time
	class           *class.Class
	body            *requestBody
	heldBytes       int64 // charged for the buffer of the body
	attempts        int   // attempts that sent the request or a part of it, or may have
	mayHaveRun      bool  // an attempt may have executed the request
	staleConnection bool  // the last attempt failed because its connection went stale, not because of its upstream
	cause           error // of the last failure, logged for operators
	skip            []string
}

// serve handles the request from parsing its headers to the last byte of its response.
func (x *exchange) serve() {
	refused := x.admit()
	if refused == nil {
		refused = x.forward()
	}
	if refused == nil {
		return
	}
	x.recordOutcome(verdict.Parse(refused.Verdict))
	countRefusal(refused.Code)
	if refused.Verdict != verdict.NotRun.String() {
		event.AnswerLost.Error(x.cause, "class", x.requestParams.class, "request", x.requestID, "verdict", refused.Verdict, "code", refused.Code)
	}
	if x.hasUnreadBody() {
		// Otherwise net/http would read the rest of the body before it sends the refusal.
		x.w.Header().Set("Connection", "close")
	}
	refused.Write(x.w)
}

// hasUnreadBody reports whether a part of the body has not been read from the caller.
func (x *exchange) hasUnreadBody() bool {
	if x.body == nil {
		return x.r.Body != http.NoBody
	}
	return !x.body.fullyBuffered()
}

// recordOutcome records the outcome and latency of the request.
func (x *exchange) recordOutcome(v verdict.Verdict) {
	x.front.classes.Count(x.class, v, time.Since(x.startedAt))
}

// admit validates the request and buffers its body, or the beginning of a long one, before a slot is taken.
func (x *exchange) admit() *refusal.Refusal {
	if err := errors.Join(checkForwardable(x.r), guard.ConnOf(x.r).CheckHead(x.r)); err != nil {
		return refusal.NotRun(http.StatusBadRequest, refusal.BadRequest, err.Error())
	}
	var err error
	if x.requestParams, err = parseRequestParams(x.r); err != nil {
		return refusal.NotRun(http.StatusBadRequest, refusal.BadRequest, err.Error())
	}
	if !x.front.classes.Ready() {
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.NoConfiguration, "the entry has not received a configuration yet")
	}
	if x.class = x.front.classes.Find(x.requestParams.class); x.class == nil {
		return refusal.NotRun(http.StatusNotFound, refusal.UnknownClass, "header Daisyswitch-Class names a class that is not configured")
	}
	if x.timeout == 0 {
		x.timeout = x.front.options.RequestTimeout
	}
	return x.readBody()
}

// forward sends the request to one upstream after another until one responds or no further attempt is allowed.
func (x *exchange) forward() *refusal.Refusal {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.startedAt.Add(x.timeout))
	defer cancel()
	x.front.budget.Request(x.startedAt)
	var last *refusal.Refusal
	for range maxAttempts {
		slot, err := x.acquireSlot(ctx)
		if err != nil {
			return x.downgradeNotRun(x.acquireRefusal(err, last))
		}
		refused, retry := x.sendAttempt(ctx, slot)
		if refused == nil {
			return nil
		}
		last = refused
		if !retry {
			break
		}
		if !x.staleConnection {
			x.skip = append(x.skip, slot.ID())
		}
	}
	return x.downgradeNotRun(last)
}

// downgradeNotRun turns the verdict not-run into unknown once an attempt may have executed the request.
func (x *exchange) downgradeNotRun(f *refusal.Refusal) *refusal.Refusal {
	if x.mayHaveRun && f.Verdict == verdict.NotRun.String() {
		f.Verdict = verdict.Unknown.String()
	}
	return f
}

func (x *exchange) acquireSlot(ctx context.Context) (*upstream.Slot, error) {
	wait := x.front.options.QueueTimeout
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)-x.class.MedianLatency())
	}
	return x.front.queue.Acquire(ctx, queue.Request{Class: x.class.QueueOrder(), Skip: x.skip, Wait: wait})
}

// acquireRefusal maps an error of the queue to a refusal. After a failed attempt, it returns that attempt's refusal instead.
func (x *exchange) acquireRefusal(err error, last *refusal.Refusal) *refusal.Refusal {
	if last != nil {
		return last
	}
	switch {
	case errors.Is(err, queue.ErrNoUpstream):
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.NoUpstream, publicReason(err))
	case errors.Is(err, queue.ErrCallerGone):
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.CallerGone, publicReason(err))
	default:
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.Busy, publicReason(err))
	}
}

// publicReason returns the part of err that callers may see. The cause, which may contain addresses, is only logged.
func publicReason(err error) string {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return "internal error"
}

// sendAttempt sends the request to the slot's upstream and relays its response. It reports whether a refusal may be retried on another upstream.
func (x *exchange) sendAttempt(ctx context.Context, slot *upstream.Slot) (refused *refusal.Refusal, retry bool) {
	defer slot.Release()
	answer, err := slot.Do(ctx, x.newUpstreamRequest(slot.Address()))
	if err != nil {
		return x.handleSendError(ctx, err)
	}
	defer answer.Close()
	x.attempts++
	if refusedByProtocol(answer) {
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.UpstreamRefused, "the upstream refused the request"), x.mayRetry()
	}
	return x.relay(ctx, answer)
}

// refusedByProtocol reports whether the response is a 503 whose verdict header says that the upstream did not run the request.
func refusedByProtocol(a *transport.Answer) bool {
	return a.StatusCode == http.StatusServiceUnavailable && a.Header.Get(refusal.Header) == verdict.NotRun.String()
}

// handleSendError handles an attempt that received no response.
func (x *exchange) handleSendError(ctx context.Context, err error) (refused *refusal.Refusal, retry bool) {
	x.cause = err
	v := verdict.Of(err)
	if v == verdict.NotRun {
		if ctx.Err() == nil {
			return refusal.NotRun(http.StatusServiceUnavailable, refusal.UpstreamFailed, publicReason(err)), x.body.replayable()
		}
		return refusal.NotRun(http.StatusServiceUnavailable, refusal.Timeout, "the deadline passed before the request was sent"), false
	}
	x.attempts++
	x.mayHaveRun = true
	if bodyError := x.body.readRefusal(); bodyError != nil {
		return bodyError, false
	}
	if ctx.Err() != nil {
		return refusal.New(http.StatusGatewayTimeout, v, refusal.Timeout, "the deadline passed before the upstream responded"), false
	}
	x.staleConnection = errors.Is(err, transport.ErrFirstByteTimeout)
	retry = x.staleConnection || x.idempotent && x.mayRetry() // transport has called mayRetry before it abandoned a stale connection
	return refusal.New(http.StatusBadGateway, v, refusal.UpstreamFailed, publicReason(err)), retry
}

// mayRetry reports whether the request can be sent again and, if so, consumes one retry of the budget.
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
