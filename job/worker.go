package job

import (
	"cmp"
	"slices"

	"daisyswitch/admit"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Held is a task that is committed to a worker, with its job and whether it is a replica of a service.
type Held struct {
	Job     *wire.Job
	Task    *wire.Task
	Service bool
}

type worker struct {
	record    *wire.WorkerRecord
	offered   resource.Size // capacity in the last announcement
	capacity  resource.Size // effective capacity: for each resource the larger of offered and committed
	committed resource.Size
	held      []heldTask // in order of job and index
}

type heldTask struct {
	job  *job
	task *wire.Task
}

func (w *worker) position(number uint64, index int32) (int, bool) {
	return slices.BinarySearchFunc(w.held, heldTask{}, func(h, _ heldTask) int {
		return cmp.Or(cmp.Compare(h.job.number, number), cmp.Compare(h.task.Index, index))
	})
}

func (w *worker) hold(j *job, t *wire.Task) {
	at, _ := w.position(j.number, t.Index)
	w.held = slices.Insert(w.held, at, heldTask{j, t})
	w.committed = w.committed.Add(resource.FromWire(t.Committed))
}

func (w *worker) release(j *job, t *wire.Task) {
	at, _ := w.position(j.number, t.Index)
	w.held = slices.Delete(w.held, at, at+1)
	w.committed = w.committed.Sub(resource.FromWire(t.Committed))
}

// SetWorker applies a worker's announcement. A worker that is gone or has a new incarnation loses all tasks committed to it.
func (tb *Table) SetWorker(r *wire.WorkerRecord) {
	if admit.Worker(r) != nil {
		return
	}
	w := tb.workers[r.Name]
	if r.Gone {
		tb.markGone(w, r)
		return
	}
	if w == nil {
		w = &worker{}
		tb.workers[r.Name] = w
	}
	if w.record != nil && w.record.Incarnation != r.Incarnation {
		tb.loseHeldTasks(w, "worker restarted")
	}
	tb.goneWorkers = slices.DeleteFunc(tb.goneWorkers, func(name string) bool { return name == r.Name })
	tb.options.DomainAnnounced(r.Domain, r.Name)
	w.offered = resource.FromWire(r.Capacity)
	w.record = nil
	tb.updateCapacity(w, r)
}

// markGone marks a worker as gone.
// Whoever proposes this knows that the worker's lease has expired or that it runs nothing.
func (tb *Table) markGone(w *worker, r *wire.WorkerRecord) {
	if w == nil || w.record.Gone || w.record.Incarnation != r.Incarnation {
		return
	}
	previous := w.record
	tb.loseHeldTasks(w, "worker lost")
	w.record = admit.Record(previous, w.offered, w.offered)
	w.record.Gone = true
	w.capacity = w.offered
	tb.goneWorkers = append(tb.goneWorkers, r.Name)
	tb.options.WorkerChanged(w.record)
}

func (tb *Table) loseHeldTasks(w *worker, reason string) {
	for len(w.held) > 0 {
		h := w.held[0]
		tb.lost(h.job, h.job.position(h.task.Index), reason)
	}
}

// updateCapacity sets a worker's effective capacity to what it offers, but not below what is committed to it.
// r provides the other fields of the worker's record.
func (tb *Table) updateCapacity(w *worker, r *wire.WorkerRecord) {
	capacity := admit.MaxSize(w.offered, w.committed)
	if w.record != nil && capacity == w.capacity {
		return
	}
	w.capacity = capacity
	w.record = admit.Record(r, capacity, w.offered)
	tb.options.WorkerChanged(w.record)
}
