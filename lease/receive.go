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
	keepFormer  = 8 // incarnations of a worker that are remembered to be fenced off
	keepAttempt = 2 // reports for which an attempt that is no longer missing is remembered
)

// Outcome is what a report means: events and a record to commit, or a refusal.
type Outcome struct {
	Events  []*wire.TaskEvent
	Worker  *wire.WorkerRecord // nil if unchanged
	Refusal string             // why nothing of the report counts; empty if it does
}

// Receive reads one report against what the state holds for the worker; record is nil if the state does not know it.
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
	w.heard = now
	if refusal := w.admit(now, r); refusal != "" {
		w.logRefusal(r, refusal)
		return Outcome{Refusal: refusal}
	}
	w.refusal = ""
	if record != nil && record.Incarnation != r.Worker.Incarnation {
		// What the state holds belongs to the former incarnation and ends with this record.
		w.end = later(w.end, now.Add(t.span))
		return Outcome{Worker: announced(r.Worker)}
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
	if changed(record, r.Worker) {
		o.Worker = announced(r.Worker)
		w.end = later(w.end, now.Add(t.span))
	}
	return o
}

// admit decides whether a report may speak for its worker and takes its sequence number.
func (w *holder) admit(now time.Time, r *wire.WorkerReport) string {
	if w.incarnation != r.Worker.Incarnation {
		return w.replace(now, r)
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

func (w *holder) logRefusal(r *wire.WorkerReport, refusal string) {
	if w.refusal != refusal {
		event.ReportRefused.Info("worker", r.Worker.Name, "incarnation", r.Worker.Incarnation, "reason", refusal)
	}
	w.refusal = refusal
}

// replace lets a new incarnation take the worker's place once the lease of the former one has surely ended.
func (w *holder) replace(now time.Time, r *wire.WorkerReport) string {
	if slices.Contains(w.former, r.Worker.Incarnation) {
		return "an older incarnation of the worker"
	}
	if !w.left && !now.After(w.end) {
		return "the lease of the worker's former incarnation has not ended"
	}
	if w.incarnation != "" {
		w.former = append(w.former, w.incarnation)
	}
	if len(w.former) > keepFormer {
		w.former = slices.Delete(w.former, 0, 1)
	}
	w.incarnation = r.Worker.Incarnation
	w.sequence = r.Sequence
	w.end = time.Time{}
	w.lost, w.left, w.gone = false, false, false
	w.fresh = false
	w.attempts = map[state.Ref]*attempt{}
	return ""
}

// attempt returns what is known of an attempt that is missing from a report.
// One that the first report to a leader misses may have been sent by an earlier leader.
func (w *holder) attempt(ref state.Ref) *attempt {
	a := w.attempts[ref]
	if a == nil {
		a = &attempt{inherited: w.fresh}
		w.attempts[ref] = a
	}
	a.touched = w.sequence
	return a
}

// events returns what the report says of the attempts that the state holds.
func (w *holder) events(r *wire.WorkerReport, held []state.Held) []*wire.TaskEvent {
	reports := w.index(r)
	var events []*wire.TaskEvent
	for _, h := range held {
		ref := task.RefOf(h.Task)
		if report := reports[ref]; report != nil {
			events = append(events, reported(h.Task, report)...)
			continue
		}
		a := w.attempt(ref)
		if a.neverReceived(h.Task, r.Sequence) {
			a.condemned = true
			events = append(events, &wire.TaskEvent{Task: ref.Wire(), Kind: wire.TaskEventKind_TASK_EVENT_KIND_NOT_STARTED})
		}
	}
	w.fresh = false
	maps.DeleteFunc(w.attempts, func(_ state.Ref, a *attempt) bool { return a.touched+keepAttempt < r.Sequence })
	return events
}

// lateEvents returns what the report says of attempts that ended and that the state no longer holds; they still count for a task that was not started again.
func lateEvents(r *wire.WorkerReport, held []state.Held) []*wire.TaskEvent {
	var events []*wire.TaskEvent
	for _, report := range r.Tasks {
		if ended(report.Phase) && !isHeld(held, task.FromWire(report.Task)) {
			events = append(events, endOf(report))
		}
	}
	return events
}

func isHeld(held []state.Held, ref state.Ref) bool {
	return slices.ContainsFunc(held, func(h state.Held) bool { return task.RefOf(h.Task) == ref })
}

// neverReceived reports whether an attempt that is missing from a report is surely unknown to its worker and must not be sent again.
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

// reported returns the events of one task's report.
func reported(t *wire.Task, r *wire.TaskReport) []*wire.TaskEvent {
	e := endOf(r)
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

// endOf returns a report's phase as an event.
func endOf(r *wire.TaskReport) *wire.TaskEvent {
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

// leavingEvents has everything on a leaving worker stopped.
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

// idle reports whether nothing is committed to a worker and nothing runs on it.
func idle(r *wire.WorkerReport, held []state.Held) bool {
	for _, report := range r.Tasks {
		if !ended(report.Phase) {
			return false
		}
	}
	return len(held) == 0
}

// changed reports whether an announcement differs from what the state has recorded.
func changed(record, r *wire.WorkerRecord) bool {
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

func announced(r *wire.WorkerRecord) *wire.WorkerRecord {
	event.WorkerAnnounced.Info("worker", r.Name, "domain", r.Domain, "incarnation", r.Incarnation)
	a := Gone(r)
	a.Gone = false
	return a
}

// index returns the report's tasks by attempt, once for its receipt and its answer.
func (w *holder) index(r *wire.WorkerReport) map[state.Ref]*wire.TaskReport {
	if w.indexed == r {
		return w.reports
	}
	w.indexed = r
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
