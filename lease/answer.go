package lease

import (
	"time"

	"daisyswitch/resource"
	"daisyswitch/state"
	"daisyswitch/task"
	"daisyswitch/wire"
)

// Answer renews the lease of the worker that sent a received report and returns the orders that bring the worker to the committed state.
// out reports whether a failure domain is out; throttles holds each attempt's throttle percentage, 0 if absent.
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
	w.leaseEnd = later(w.leaseEnd, now.Add(t.maxLength))
	reply := &wire.WorkerReply{LeaseMs: t.length.Milliseconds()}
	reports := w.indexReport(r)
	w.indexedReport, w.reports = nil, nil
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

// resizeOrders returns orders for sizes that changed since the worker was last informed, smaller ones first. They precede starts, which may need the room that they free.
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

// order returns the order for an attempt that the state holds, or nil if there is none.
func (w *workerState) order(h state.Held, report *wire.TaskReport, permitted bool, throttle int32) *wire.Order {
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

// missingOrder returns the order for an attempt that the worker does not report: a start, or a stop, which makes the worker report the attempt as stopped even if it does not know it.
func (w *workerState) missingOrder(h state.Held, permitted bool) *wire.Order {
	ref := task.RefOf(h.Task)
	a := w.attempt(ref)
	if a.notStarted {
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

// unknownOrder returns the order for an attempt that the state does not hold on this worker: forget it if it has ended, otherwise stop it.
func unknownOrder(report *wire.TaskReport) *wire.Order {
	order := &wire.Order{Kind: wire.OrderKind_ORDER_KIND_STOP, Task: report.Task}
	if ended(report.Phase) {
		order.Kind = wire.OrderKind_ORDER_KIND_FORGET
	}
	return order
}
