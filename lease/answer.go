package lease

import (
	"time"

	"daisyswitch/resource"
	"daisyswitch/state"
	"daisyswitch/task"
	"daisyswitch/wire"
)

// Answer renews the lease of a report that was received and orders what the state wants of the worker.
// out tells whether a failure domain is out; throttles holds the percentage to take from each attempt, 0 if absent.
func (t *Table) Answer(now time.Time, r *wire.WorkerReport, held []state.Held, out func(domain string) bool, throttles map[state.Ref]int32) *wire.WorkerReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers[r.GetWorker().GetName()]
	if w == nil || w.incarnation != r.Worker.Incarnation || w.sequence != r.Sequence {
		return &wire.WorkerReply{Refusal: "the report is not the worker's last one"}
	}
	if w.lost {
		return &wire.WorkerReply{Refusal: "the worker's lease has ended"}
	}
	w.end = later(w.end, now.Add(t.span))
	reply := &wire.WorkerReply{LeaseMs: t.length.Milliseconds()}
	reports := w.index(r)
	w.indexed, w.reports = nil, nil
	permitted := !out(r.Worker.Domain) && !r.Leaving
	reply.Orders = resizeOrders(held, reports)
	for _, h := range held {
		ref := task.RefOf(h.Task)
		if order := w.order(h, reports[ref], permitted, throttles[ref]); order != nil {
			reply.Orders = append(reply.Orders, order)
		}
		delete(reports, ref)
	}
	for _, report := range r.Tasks {
		if reports[task.FromWire(report.Task)] != nil {
			reply.Orders = append(reply.Orders, unknownOrder(report))
		}
	}
	return reply
}

// resizeOrders tells of sizes that changed since the worker was last told, smaller ones first; they come before starts, which may take the room.
func resizeOrders(held []state.Held, reports map[state.Ref]*wire.TaskReport) []*wire.Order {
	var smaller, larger []*wire.Order
	for _, h := range held {
		report := reports[task.RefOf(h.Task)]
		if report == nil || report.Size == nil || ended(report.Phase) {
			continue
		}
		told, committed := resource.FromWire(report.Size), resource.FromWire(h.Task.Committed)
		order := &wire.Order{Kind: wire.OrderKind_ORDER_KIND_RESIZE, Task: report.Task, Size: h.Task.Committed}
		switch {
		case told == committed:
		case committed.Fits(told):
			smaller = append(smaller, order)
		default:
			larger = append(larger, order)
		}
	}
	return append(smaller, larger...)
}

// order returns what the worker is told about an attempt that the state holds, nil for nothing.
func (w *holder) order(h state.Held, report *wire.TaskReport, permitted bool, throttle int32) *wire.Order {
	if report == nil {
		return w.missingOrder(h, permitted)
	}
	if ended(report.Phase) {
		return nil
	}
	order := &wire.Order{Task: report.Task}
	if h.Task.State == wire.TaskState_TASK_STATE_STOPPING {
		order.Kind = wire.OrderKind_ORDER_KIND_CHECKPOINT
		if h.Task.Cancelled {
			order.Kind = wire.OrderKind_ORDER_KIND_STOP
		}
		return order
	}
	if report.ThrottlePercent == throttle {
		return nil
	}
	order.Kind = wire.OrderKind_ORDER_KIND_THROTTLE
	order.ThrottlePercent = throttle
	return order
}

// missingOrder starts an attempt that the worker does not report; a stop makes it report the attempt as stopped, known or not.
func (w *holder) missingOrder(h state.Held, permitted bool) *wire.Order {
	ref := task.RefOf(h.Task)
	a := w.attempt(ref)
	if a.condemned {
		return nil
	}
	if h.Task.State == wire.TaskState_TASK_STATE_STARTING && permitted {
		a.sent = true
		a.sequence = w.sequence
		a.withheld = false
		return startOrder(h)
	}
	if h.Task.State == wire.TaskState_TASK_STATE_STARTING {
		a.withheld = true
	}
	if a.inherited || h.Task.State == wire.TaskState_TASK_STATE_RUNNING {
		return &wire.Order{Kind: wire.OrderKind_ORDER_KIND_STOP, Task: ref.Wire()}
	}
	return nil
}

func startOrder(h state.Held) *wire.Order {
	order := &wire.Order{
		Kind: wire.OrderKind_ORDER_KIND_START, Task: task.RefOf(h.Task).Wire(), Job: h.Job, Size: h.Task.Committed,
		Checkpoint: h.Task.Checkpoint, CheckpointData: h.Task.CheckpointData, ClassKind: wire.ClassKind_CLASS_KIND_BATCH,
	}
	if h.Service {
		order.ClassKind = wire.ClassKind_CLASS_KIND_SERVICE
	}
	return order
}

// unknownOrder answers an attempt that the state does not hold on this worker: its end is recorded, or it must end.
func unknownOrder(report *wire.TaskReport) *wire.Order {
	order := &wire.Order{Kind: wire.OrderKind_ORDER_KIND_STOP, Task: report.Task}
	if ended(report.Phase) {
		order.Kind = wire.OrderKind_ORDER_KIND_FORGET
	}
	return order
}
