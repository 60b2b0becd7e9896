package lease

import (
	"maps"
	"slices"
	"time"

	"daisyswitch/admit"
	"daisyswitch/event"
	"daisyswitch/resource"
	"daisyswitch/state"
	"daisyswitch/task"
	"daisyswitch/wire"
)

const (
	maxFormer        = 8 // replaced incarnations of a worker that are remembered, so that they stay fenced off
	attemptRetention = 2 // number of reports for which an attempt is remembered after it was last missing
)

// Outcome is the result of a report: events and a record to commit, or a refusal.
type Outcome struct {
	Events  []*wire.TaskEvent
	Worker  *wire.WorkerRecord // nil if unchanged
	Refusal string             // why the report is ignored; empty if it is accepted
}

// Receive evaluates a report against the attempts that the state holds for the worker; record is nil if the worker is not in the state.
func (t *Table) Receive(now time.Time, r *wire.WorkerReport, held []state.Held, record *wire.WorkerRecord) Outcome {
	if err := admit.Worker(r.GetWorker()); err != nil {
		return Outcome{Refusal: err.Error()}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers[r.Worker.Name]
	if w == nil {
		w = t.add(r.Worker.Name, record)
	}
	if record == nil && r.Leaving {
		return Outcome{Refusal: "the worker leaves before it was known"}
	}
	w.lastReport = now
	if refusal := w.admit(now, r); refusal != "" {
		w.logRefusal(r, refusal)
		return Outcome{Refusal: refusal}
	}
	w.refusal = ""
	if record != nil && record.Incarnation != r.Worker.Incarnation {
		// The attempts in the state belong to the former incarnation and end with this record.
		w.leaseEnd = later(w.leaseEnd, now.Add(t.maxLength))
		return Outcome{Worker: announcedRecord(r.Worker)}
	}
	o := Outcome{Events: append(w.events(r, held), lateEvents(r, held)...)}
	if r.Leaving {
		o.Events = append(o.Events, leavingEvents(held)...)
		if idle(r, held) {
			w.left, w.lost = true, true
			event.WorkerLeft.Info("worker", r.Worker.Name)
			o.Worker = Gone(r.Worker)
			return o
		}
	}
	if recordChanged(record, r.Worker) {
		o.Worker = announcedRecord(r.Worker)
		w.leaseEnd = later(w.leaseEnd, now.Add(t.maxLength))
	}
	return o
}

// admit checks that a report is the newest from the current incarnation and records its sequence number.
func (w *workerState) admit(now time.Time, r *wire.WorkerReport) string {
	if w.incarnation != r.Worker.Incarnation {
		return w.replaceIncarnation(now, r)
	}
	switch {
	case r.Sequence < w.sequence:
		return "an older report than the last one"
	case w.left:
		return "the worker has left"
	case w.lost && !w.gone:
		return "the lease has ended and its end is being recorded"
	}
	w.lost = false
	w.gone = false
	w.sequence = r.Sequence
	return ""
}

func (w *workerState) logRefusal(r *wire.WorkerReport, refusal string) {
	if w.refusal != refusal {
		event.ReportRefused.Info("worker", r.Worker.Name, "incarnation", r.Worker.Incarnation, "reason", refusal)
	}
	w.refusal = refusal
}

// replaceIncarnation accepts a new incarnation of a worker once the lease of the former one is known to have expired.
func (w *workerState) replaceIncarnation(now time.Time, r *wire.WorkerReport) string {
	if slices.Contains(w.formerIncarnations, r.Worker.Incarnation) {
		return "an older incarnation of the worker"
	}
	if !w.left && !now.After(w.leaseEnd) {
		return "the lease of the worker's former incarnation has not ended"
	}
	if w.incarnation != "" {
		w.formerIncarnations = append(w.formerIncarnations, w.incarnation)
	}
	if len(w.formerIncarnations) > maxFormer {
		w.formerIncarnations = slices.Delete(w.formerIncarnations, 0, 1)
	}
	w.incarnation = r.Worker.Incarnation
	w.sequence = r.Sequence
	w.leaseEnd = time.Time{}
	w.lost, w.left, w.gone = false, false, false
	w.notReported = false
	w.attempts = map[state.Ref]*attempt{}
	return ""
}

// attempt returns the bookkeeping of an attempt that is missing from a report.
// If it is missing from the first report to this leader, an earlier leader may have sent its start.
func (w *workerState) attempt(ref state.Ref) *attempt {
	a := w.attempts[ref]
	if a == nil {
		a = &attempt{inherited: w.notReported}
		w.attempts[ref] = a
	}
	a.lastMissing = w.sequence
	return a
}

// events returns the events that follow from a report for the attempts that the state holds.
func (w *workerState) events(r *wire.WorkerReport, held []state.Held) []*wire.TaskEvent {
	reports := w.indexReport(r)
	var events []*wire.TaskEvent
	for _, h := range held {
		ref := task.RefOf(h.Task)
		if report := reports[ref]; report != nil {
			events = append(events, attemptEvents(h.Task, report)...)
			continue
		}
		a := w.attempt(ref)
		if a.neverReceived(h.Task, r.Sequence) {
			a.notStarted = true
			events = append(events, &wire.TaskEvent{Task: ref.Wire(), Kind: wire.TaskEventKind_TASK_EVENT_KIND_NOT_STARTED})
		}
	}
	w.notReported = false
	maps.DeleteFunc(w.attempts, func(_ state.Ref, a *attempt) bool { return a.lastMissing+attemptRetention < r.Sequence })
	return events
}

// lateEvents returns the ends of attempts that the state no longer holds. They still count for a task that was not started again.
func lateEvents(r *wire.WorkerReport, held []state.Held) []*wire.TaskEvent {
	var events []*wire.TaskEvent
	for _, report := range r.Tasks {
		if ended(report.Phase) && !isHeld(held, task.FromWire(report.Task)) {
			events = append(events, phaseEvent(report))
		}
	}
	return events
}

func isHeld(held []state.Held, ref state.Ref) bool {
	return slices.ContainsFunc(held, func(h state.Held) bool { return task.RefOf(h.Task) == ref })
}

// neverReceived reports whether an attempt that is missing from a report is known not to have reached its worker and must not be sent again.
func (a *attempt) neverReceived(t *wire.Task, sequence uint64) bool {
	if a.inherited || a.sent && sequence <= a.sequence {
		return false
	}
	switch t.State {
	case wire.TaskState_TASK_STATE_STARTING:
		return a.withheld
	case wire.TaskState_TASK_STATE_STOPPING:
		return true
	}
	return false
}

// attemptEvents returns the events that follow from the report of one attempt.
func attemptEvents(t *wire.Task, r *wire.TaskReport) []*wire.TaskEvent {
	e := phaseEvent(r)
	if ended(r.Phase) {
		return []*wire.TaskEvent{e}
	}
	var events []*wire.TaskEvent
	stopping := t.State == wire.TaskState_TASK_STATE_STOPPING && t.Started
	if t.State != wire.TaskState_TASK_STATE_RUNNING && !stopping {
		events = append(events, &wire.TaskEvent{Task: r.Task, Kind: wire.TaskEventKind_TASK_EVENT_KIND_RUNNING})
	}
	if r.Checkpoint > t.Checkpoint {
		e.Kind = wire.TaskEventKind_TASK_EVENT_KIND_CHECKPOINT
		events = append(events, e)
	}
	return events
}

// phaseEvent converts the phase in a report to an event.
func phaseEvent(r *wire.TaskReport) *wire.TaskEvent {
	return &wire.TaskEvent{
		Task: r.Task, Kind: r.Phase, Reason: r.Reason, Checkpoint: r.Checkpoint, CheckpointData: r.CheckpointData,
	}
}

// ended reports whether an attempt in that phase no longer runs.
func ended(phase wire.TaskEventKind) bool {
	switch phase {
	case wire.TaskEventKind_TASK_EVENT_KIND_DONE, wire.TaskEventKind_TASK_EVENT_KIND_FAILED,
		wire.TaskEventKind_TASK_EVENT_KIND_STOPPED, wire.TaskEventKind_TASK_EVENT_KIND_NOT_STARTED:
		return true
	}
	return false
}

// leavingEvents returns events that stop all attempts on a leaving worker.
func leavingEvents(held []state.Held) []*wire.TaskEvent {
	var events []*wire.TaskEvent
	for _, h := range held {
		if h.Task.State == wire.TaskState_TASK_STATE_STOPPING {
			continue
		}
		events = append(events, &wire.TaskEvent{
			Task: task.RefOf(h.Task).Wire(), Kind: wire.TaskEventKind_TASK_EVENT_KIND_STOPPING, Reason: "worker leaving",
		})
	}
	return events
}

// idle reports whether no attempt is committed to a worker and none runs on it.
func idle(r *wire.WorkerReport, held []state.Held) bool {
	for _, report := range r.Tasks {
		if !ended(report.Phase) {
			return false
		}
	}
	return len(held) == 0
}

// recordChanged reports whether an announcement differs from the worker's record in the state.
func recordChanged(record, r *wire.WorkerRecord) bool {
	if record == nil || record.Gone {
		return true
	}
	if record.Incarnation != r.Incarnation || record.Domain != r.Domain || record.Rack != r.Rack {
		return true
	}
	offered := record.Capacity
	if record.Offered != nil {
		offered = record.Offered
	}
	return resource.FromWire(offered) != resource.FromWire(r.Capacity)
}

func announcedRecord(r *wire.WorkerRecord) *wire.WorkerRecord {
	event.WorkerAnnounced.Info("worker", r.Name, "domain", r.Domain, "incarnation", r.Incarnation)
	a := Gone(r)
	a.Gone = false
	return a
}

// indexReport returns the report's tasks by attempt, computed once for both Receive and Answer.
func (w *workerState) indexReport(r *wire.WorkerReport) map[state.Ref]*wire.TaskReport {
	if w.indexedReport == r {
		return w.reports
	}
	w.indexedReport = r
	w.reports = make(map[state.Ref]*wire.TaskReport, len(r.Tasks))
	for _, report := range r.Tasks {
		w.reports[task.FromWire(report.Task)] = report
	}
	return w.reports
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
