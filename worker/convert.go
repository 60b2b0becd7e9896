package worker

import (
	"errors"
	"fmt"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

var eventKinds = map[string]wire.TaskEventKind{
	PhaseRunning: wire.TaskEventKind_TASK_EVENT_KIND_RUNNING,
	PhaseDone:    wire.TaskEventKind_TASK_EVENT_KIND_DONE,
	PhaseFailed:  wire.TaskEventKind_TASK_EVENT_KIND_FAILED,
	PhaseStopped: wire.TaskEventKind_TASK_EVENT_KIND_STOPPED,
}

var orderNames = map[wire.OrderKind]string{
	wire.OrderKind_ORDER_KIND_START:      OrderStart,
	wire.OrderKind_ORDER_KIND_THROTTLE:   OrderThrottle,
	wire.OrderKind_ORDER_KIND_CHECKPOINT: OrderCheckpoint,
	wire.OrderKind_ORDER_KIND_STOP:       OrderStop,
	wire.OrderKind_ORDER_KIND_FORGET:     OrderForget,
	wire.OrderKind_ORDER_KIND_RESIZE:     OrderResize,
}

func reportToWire(r *Report) (*wire.WorkerReport, error) {
	if r.Domain == "" || r.Incarnation == "" || r.Sequence == 0 {
		return nil, errors.New("report: domain, incarnation and a sequence above 0 are required")
	}
	if !r.Capacity.Valid() {
		return nil, errors.New("report: capacity must be above 0 for at least one resource and must not be negative for any")
	}
	out := &wire.WorkerReport{
		Worker: &wire.WorkerRecord{
			Name:        r.Name,
			Domain:      r.Domain,
			Rack:        r.Rack,
			Capacity:    r.Capacity.Wire(),
			Incarnation: r.Incarnation,
		},
		Sequence: r.Sequence,
		Leaving:  r.Leaving,
	}
	for i := range r.Tasks {
		task, err := taskToWire(&r.Tasks[i])
		if err != nil {
			return nil, err
		}
		out.Tasks = append(out.Tasks, task)
	}
	return out, nil
}

func taskToWire(t *TaskReport) (*wire.TaskReport, error) {
	phase, known := eventKinds[t.Phase]
	if !known {
		return nil, fmt.Errorf("report: task %s/%d: phase %q is not one of running, done, failed, stopped", t.Job, t.Index, t.Phase)
	}
	out := &wire.TaskReport{
		Task:            &wire.TaskRef{Job: t.Job, Index: t.Index, Attempt: t.Attempt},
		Phase:           phase,
		Used:            t.Used.Wire(),
		Checkpoint:      t.Checkpoint,
		CheckpointData:  t.CheckpointData,
		Reason:          t.Reason,
		P99Us:           t.P99US,
		ProgressPpm:     t.ProgressPPM,
		ThrottlePercent: t.ThrottlePercent,
	}
	if t.Size != (resource.Size{}) {
		out.Size = t.Size.Wire()
	}
	return out, nil
}

func replyFromWire(r *wire.WorkerReply) *Reply {
	out := &Reply{LeaseMS: r.LeaseMs, Refusal: r.Refusal, Orders: []Order{}}
	for _, o := range r.Orders {
		out.Orders = append(out.Orders, orderFromWire(o))
	}
	return out
}

func orderFromWire(o *wire.Order) Order {
	out := Order{
		Kind:            orderNames[o.Kind],
		Job:             o.Task.GetJob(),
		Index:           o.Task.GetIndex(),
		Attempt:         o.Task.GetAttempt(),
		ThrottlePercent: o.ThrottlePercent,
	}
	if o.Kind == wire.OrderKind_ORDER_KIND_RESIZE {
		out.Size = resource.FromWire(o.Size)
	}
	if o.Kind != wire.OrderKind_ORDER_KIND_START {
		return out
	}
	out.Class = o.Job.GetClass()
	out.Program = o.Job.GetProgram()
	out.Service = o.ClassKind == wire.ClassKind_CLASS_KIND_SERVICE
	out.Size = resource.FromWire(o.Size)
	out.ExpectedMS = o.Job.GetExpectedMs()
	out.Checkpoint = o.Checkpoint
	out.CheckpointData = o.CheckpointData
	return out
}
