package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"daisyswitch/call"
	"daisyswitch/group"
	"daisyswitch/wire"
)

const (
	clockInterval = 250 * time.Millisecond // between readings of the relay's clock that the leader gets
	maxInProgress = 4096                   // relayed calls at a time; a leader with 3,000 workers has one hold and at times one order for each
	replyQueue    = 64                     // replies that wait to be sent
)

// Server executes the calls that a leader sends through this member.
type Server struct {
	Calls     call.Functions
	SinceBoot func() time.Duration // includes suspended time
	Term      func() uint64        // the newest term that this member knows

	newest     atomic.Uint64 // term of any relayed call
	inProgress atomic.Int64
}

// serving is one leader's stream.
type serving struct {
	*Server
	ctx     context.Context
	replies chan *wire.RelayReply
	calls   group.Group

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc // of the calls in progress, by number
}

// Serve executes the calls of one stream until it ends.
func (s *Server) Serve(stream wire.DRPCControl_RelayStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	v := &serving{Server: s, ctx: ctx, replies: make(chan *wire.RelayReply, replyQueue), cancels: map[uint64]context.CancelFunc{}}
	var sending group.Group
	sending.Go(func() { v.send(stream, cancel) })
	defer sending.Wait()
	defer v.calls.Wait()
	defer cancel()
	for {
		c, err := stream.Recv()
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		v.accept(c)
	}
}

// send sends the replies and, so that the leader knows this member's clock and that it is alive, regular readings of the clock.
func (v *serving) send(stream wire.DRPCControl_RelayStream, cancel func()) {
	defer cancel()
	ticker := time.NewTicker(clockInterval)
	defer ticker.Stop()
	reply := &wire.RelayReply{}
	for {
		reply.ClockMs = v.SinceBoot().Milliseconds()
		if err := stream.Send(reply); err != nil {
			return // the leader takes a call without a reply for one that may have been executed
		}
		select {
		case <-v.ctx.Done():
			return
		case reply = <-v.replies:
		case <-ticker.C:
			reply = &wire.RelayReply{}
		}
	}
}

func (v *serving) reply(number uint64, r *wire.RelayReply) {
	r.Number = number
	select {
	case v.replies <- r:
	case <-v.ctx.Done():
	}
}

// accept begins a call, or replies why it is dropped.
func (v *serving) accept(c *wire.RelayCall) {
	if c.GetKind() == wire.RelayCallKind_RELAY_CALL_KIND_CANCEL {
		v.cancel(c.GetNumber())
		return
	}
	rest := time.Duration(c.GetExpiresMs())*time.Millisecond - v.SinceBoot()
	if reason := v.whyDropped(c.GetTerm(), rest); reason != "" {
		v.reply(c.GetNumber(), &wire.RelayReply{Result: wire.RelayResult_RELAY_RESULT_DROPPED, Reason: []byte(reason)})
		return
	}
	ctx, cancel := context.WithTimeout(v.ctx, rest)
	v.mu.Lock()
	v.cancels[c.GetNumber()] = cancel
	v.mu.Unlock()
	v.inProgress.Add(1)
	v.calls.Go(func() {
		defer v.inProgress.Add(-1)
		defer v.cancel(c.GetNumber())
		v.reply(c.GetNumber(), replyOf(execute(ctx, &v.Calls, c)))
	})
}

// cancel ends a call in progress.
func (v *serving) cancel(number uint64) {
	v.mu.Lock()
	cancel := v.cancels[number]
	delete(v.cancels, number)
	v.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// whyDropped returns why a call must not be executed, empty if it may.
func (s *Server) whyDropped(term uint64, rest time.Duration) string {
	newest := s.noteTerm(max(term, s.Term()))
	switch {
	case term < newest:
		return "a newer term is known"
	case rest <= 0:
		return "the call arrived too late"
	case s.inProgress.Load() >= maxInProgress:
		return "too many calls are in progress"
	}
	return ""
}

// noteTerm returns the newest term of this one and those before.
func (s *Server) noteTerm(term uint64) uint64 {
	for {
		newest := s.newest.Load()
		if newest >= term || s.newest.CompareAndSwap(newest, term) {
			return max(newest, term)
		}
	}
}
