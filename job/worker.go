package job

import (
	"cmp"
	"slices"

	"daisyswitch/admit"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Held is a task that is committed to a worker, with its job and the kind of its class.
type Held struct {
	Job     *wire.Job
	Task    *wire.Task
	Service bool
}

type worker struct {
	record    *wire.WorkerRecord
	offered   resource.Size // as announced
	capacity  resource.Size // in force: what is offered, or what is committed where that is more
	committed resource.Size
	held      []heldTask // in order of job and index
}

type heldTask struct {
	job  *job
	task *wire.Task
}

func (w *worker) search(number uint64, index int32) (int, bool) {
	return slices.BinarySearchFunc(w.held, heldTask{}, func(h, _ heldTask) int {
		return cmp.Or(cmp.Compare(h.job.number, number), cmp.Compare(h.task.Index, index))
	})
}

func (w *worker) hold(j *job, t *wire.Task) {
	at, _ := w.search(j.number, t.Index)
	w.held = slices.Insert(w.held, at, heldTask{j, t})
	w.committed = w.committed.Add(resource.FromWire(t.Committed))
}

func (w *worker) drop(j *job, t *wire.Task) {
	at, _ := w.search(j.number, t.Index)
	w.held = slices.Delete(w.held, at, at+1)
	w.committed = w.committed.Sub(resource.FromWire(t.Committed))
}

// SetWorker takes an announcement in; a worker that is gone or has a new incarnation holds nothing any more.
func (tb *Table) SetWorker(r *wire.WorkerRecord) {
	if admit.Worker(r) != nil {
		return
	}
	w := tb.workers[r.Name]
	if r.Gone {
		tb.leave(w, r)
		return
	}
	if w == nil {
		w = &worker{}
		tb.workers[r.Name] = w
	}
	if w.record != nil && w.record.Incarnation != r.Incarnation {
		tb.loseHeld(w, "worker restarted")
	}
	tb.gone = slices.DeleteFunc(tb.gone, func(name string) bool { return name == r.Name })
	tb.o.MeetDomain(r.Domain, r.Name)
	w.offered = resource.FromWire(r.Capacity)
	w.record = nil
	tb.settle(w, r)
}

// leave marks a worker gone; the one who proposes it knows that its lease has surely ended or that it runs nothing.
func (tb *Table) leave(w *worker, r *wire.WorkerRecord) {
	if w == nil || w.record.Gone || w.record.Incarnation != r.Incarnation {
		return
	}
	last := w.record
	tb.loseHeld(w, "worker lost")
	w.record = admit.Record(last, w.offered, w.offered)
	w.record.Gone = true
	w.capacity = w.offered
	tb.gone = append(tb.gone, r.Name)
	tb.o.WorkerChanged(w.record)
}

func (tb *Table) loseHeld(w *worker, reason string) {
	for len(w.held) > 0 {
		h := w.held[0]
		tb.lost(h.job, h.job.find(h.task.Index), reason)
	}
}

// settle lets a worker's capacity follow what it offers, as far down as what is committed allows; r is the rest of its record.
func (tb *Table) settle(w *worker, r *wire.WorkerRecord) {
	capacity := admit.Larger(w.offered, w.committed)
	if w.record != nil && capacity == w.capacity {
		return
	}
	w.capacity = capacity
	w.record = admit.Record(r, capacity, w.offered)
	tb.o.WorkerChanged(w.record)
}
