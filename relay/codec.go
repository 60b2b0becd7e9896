package relay

import (
	"context"
	"errors"
	"time"
	"unicode/utf8"

	"daisyswitch/call"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// callOf returns a call without its number and expiry. Of the worker it has only what a transport needs.
func callOf(kind wire.RelayCallKind, w *wire.CalledWorker, fence call.Fence) *wire.RelayCall {
	return &wire.RelayCall{Kind: kind, Term: fence.Term, Restarts: fence.Restarts, Worker: &wire.CalledWorker{Id: w.GetId(), Born: w.GetBorn(), Address: w.GetAddress()}}
}

func startCall(w *wire.CalledWorker, s *call.Start) *wire.RelayCall {
	c := callOf(wire.RelayCallKind_RELAY_CALL_KIND_START, w, s.Fence)
	c.Task, c.Run, c.Payload, c.DeadlineMs, c.Checkpoint, c.Ticket = s.Task.Wire(), s.Run, []byte(s.Payload), s.DeadlineMS, []byte(s.Checkpoint), []byte(s.Ticket)
	return c
}

func stopCall(w *wire.CalledWorker, s *call.Stop) *wire.RelayCall {
	c := callOf(wire.RelayCallKind_RELAY_CALL_KIND_STOP, w, s.Fence)
	c.Task, c.Run = s.Task.Wire(), s.Run
	return c
}

func paceCall(w *wire.CalledWorker, p *call.Pace) *wire.RelayCall {
	c := callOf(wire.RelayCallKind_RELAY_CALL_KIND_PACE, w, p.Fence)
	c.Task, c.Run, c.SpeedPercent = p.Task.Wire(), p.Run, int32(p.SpeedPercent)
	return c
}

func holdCall(w *wire.CalledWorker, h *call.Hold) *wire.RelayCall {
	c := callOf(wire.RelayCallKind_RELAY_CALL_KIND_HOLD, w, h.Fence)
	c.DeadlineMs, c.Noted, c.WaitMs = h.DeadlineMS, h.Noted, h.Wait.Milliseconds()
	return c
}

// execute performs a relayed call.
func execute(ctx context.Context, calls *call.Functions, c *wire.RelayCall) (*call.Listing, error) {
	w, task, fence := c.GetWorker(), workflow.NameOf(c.GetTask()), call.Fence{Term: c.GetTerm(), Restarts: c.GetRestarts()}
	switch c.GetKind() {
	case wire.RelayCallKind_RELAY_CALL_KIND_START:
		return listingOf(calls.Start(ctx, w, &call.Start{Task: task, Run: c.GetRun(), Payload: string(c.GetPayload()), DeadlineMS: c.GetDeadlineMs(), Fence: fence, Checkpoint: string(c.GetCheckpoint()), Ticket: string(c.GetTicket())}))
	case wire.RelayCallKind_RELAY_CALL_KIND_STOP:
		return listingOf(calls.Stop(ctx, w, &call.Stop{Task: task, Run: c.GetRun(), Fence: fence}))
	case wire.RelayCallKind_RELAY_CALL_KIND_PACE:
		return listingOf(calls.Pace(ctx, w, &call.Pace{Task: task, Run: c.GetRun(), SpeedPercent: int(c.GetSpeedPercent()), Fence: fence}))
	case wire.RelayCallKind_RELAY_CALL_KIND_HOLD:
		return calls.Hold(ctx, w, &call.Hold{DeadlineMS: c.GetDeadlineMs(), Fence: fence, Noted: c.GetNoted(), Wait: time.Duration(c.GetWaitMs()) * time.Millisecond})
	default:
		return nil, errors.New("the call is of an unknown kind")
	}
}

func listingOf(a *call.Answer, err error) (*call.Listing, error) {
	if err != nil {
		return nil, err
	}
	return &call.Listing{Answer: *a}, nil
}

// replyOf returns the reply to a call that was executed.
func replyOf(l *call.Listing, err error) *wire.RelayReply {
	switch {
	case errors.Is(err, call.ErrOtherWorker):
		return &wire.RelayReply{Result: wire.RelayResult_RELAY_RESULT_OTHER_WORKER}
	case errors.Is(err, call.ErrRestarted):
		return &wire.RelayReply{Result: wire.RelayResult_RELAY_RESULT_RESTARTED}
	case err != nil:
		return &wire.RelayReply{Result: wire.RelayResult_RELAY_RESULT_FAILED, Reason: []byte(err.Error())}
	}
	r := &wire.RelayReply{Result: wire.RelayResult_RELAY_RESULT_ANSWERED, WorkerClockMs: l.ClockMS, Refusal: int32(l.Refusal), MoreEnds: l.MoreEnds}
	for i := range l.Running {
		n := &l.Running[i]
		if !utf8.ValidString(n.Task.Workflow) {
			return invalidName()
		}
		r.Running = append(r.Running, &wire.RelayRunning{Task: n.Task.Wire(), Run: n.Run, Checkpoint: []byte(n.Checkpoint), ProgressPercent: int64(n.ProgressPercent), LatencyOrCpu: n.LatencyOrCPU})
	}
	for i := range l.Ended {
		e := &l.Ended[i]
		if !utf8.ValidString(e.Task.Workflow) {
			return invalidName()
		}
		r.Ended = append(r.Ended, &wire.RelayEnded{Number: e.Number, Task: e.Task.Wire(), Run: e.Run, Outcome: e.Outcome, Checkpoint: []byte(e.Checkpoint)})
	}
	return r
}

// invalidName returns the reply for a listing that cannot be encoded. No task has such a name.
func invalidName() *wire.RelayReply {
	return &wire.RelayReply{Result: wire.RelayResult_RELAY_RESULT_FAILED, Reason: []byte("the worker lists a run whose name is not UTF-8")}
}

// answerOf returns what a reply says as the transport of the relay returned it.
func answerOf(r *wire.RelayReply) (*call.Listing, error) {
	switch r.GetResult() {
	case wire.RelayResult_RELAY_RESULT_OTHER_WORKER:
		return nil, call.ErrOtherWorker
	case wire.RelayResult_RELAY_RESULT_RESTARTED:
		return nil, call.ErrRestarted
	case wire.RelayResult_RELAY_RESULT_ANSWERED:
	default:
		return nil, errors.New("relayed call: " + string(r.GetReason()))
	}
	if r.GetRefusal() < 0 || r.GetRefusal() > int32(call.Unreadable) {
		return nil, errors.New("relayed call: the refusal is unknown")
	}
	l := &call.Listing{Answer: call.Answer{ClockMS: r.GetWorkerClockMs(), Refusal: call.Refusal(r.GetRefusal())}, MoreEnds: r.GetMoreEnds()}
	for _, n := range r.GetRunning() {
		l.Running = append(l.Running, call.Running{Task: workflow.NameOf(n.GetTask()), Run: n.GetRun(), Checkpoint: string(n.GetCheckpoint()), ProgressPercent: int(n.GetProgressPercent()), LatencyOrCPU: n.GetLatencyOrCpu()})
	}
	for _, e := range r.GetEnded() {
		l.Ended = append(l.Ended, call.Ended{Number: e.GetNumber(), Task: workflow.NameOf(e.GetTask()), Run: e.GetRun(), Outcome: e.GetOutcome(), Checkpoint: string(e.GetCheckpoint())})
	}
	return l, nil
}
