package fleet

import (
	"slices"
	"time"

	"daisyswitch/blame"
	"daisyswitch/interference"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Worker is a worker with the tasks that hold capacity on it.
type Worker struct {
	Name     string
	Rack     string
	Domain   *Domain       // nil while it is gone
	Capacity resource.Size // zero while it is gone
	Free     resource.Size // capacity less committed and proposed sizes
	Tasks    []*Task
	Blame    blame.Worker

	Shares      []interference.Share // processor shares of the batch programs on it, maintained by package usage
	SharesStale bool                 // whether Shares must be recomputed
	Used        resource.Size        // last measured usage of all its tasks

	ReliefQueued bool      // whether it is queued for relief in package pressure
	LastReliefAt time.Time // time of the last relief step

	slot         int
	reservedFor  *Task // urgent task or replica that capacity is reserved for
	reservedSize resource.Size
	until        time.Time
}

// noCapacity, as the indexed size, keeps tasks off a worker.
var noCapacity = resource.Size{MilliCPU: -1}

// SetWorker applies a worker's record. No task starts on a worker that is gone, but its tasks stay assigned to it until the replicated state changes them.
func (f *Fleet) SetWorker(r *wire.WorkerRecord) {
	w := f.worker(r.GetName())
	capacity := resource.FromWire(r.GetCapacity())
	if w.Domain != nil && (r.GetGone() || w.Domain.Name != r.GetDomain() || w.Capacity != capacity) {
		f.detach(w)
	}
	if r.GetGone() {
		f.countShape(capacity, 0)
		f.removeIfUnused(w)
		return
	}
	w.Rack = r.GetRack()
	if w.Domain == nil {
		f.attach(w, f.domain(r.GetDomain()), capacity)
	}
}

func (f *Fleet) worker(name string) *Worker {
	w := f.Workers[name]
	if w == nil {
		w = &Worker{Name: name, SharesStale: true}
		f.Workers[name] = w
	}
	return w
}

func (f *Fleet) attach(w *Worker, d *Domain, capacity resource.Size) {
	w.Domain = d
	w.slot = d.Rooms.Add(noCapacity)
	if w.slot == len(d.Workers) {
		d.Workers = append(d.Workers, nil)
	}
	d.Workers[w.slot] = w
	w.Capacity = capacity
	w.Free = w.Free.Add(capacity)
	f.Total = f.Total.Add(capacity)
	f.countShape(capacity, 1)
	f.UpdateIndex(w)
}

func (f *Fleet) detach(w *Worker) {
	w.Domain.Rooms.Remove(w.slot)
	w.Domain.Workers[w.slot] = nil
	w.Domain = nil
	w.Free = w.Free.Sub(w.Capacity)
	f.Total = f.Total.Sub(w.Capacity)
	f.countShape(w.Capacity, -1)
	w.Capacity = resource.Size{}
}

func (f *Fleet) removeIfUnused(w *Worker) {
	if w.Domain == nil && len(w.Tasks) == 0 {
		delete(f.Workers, w.Name)
	}
}

func (f *Fleet) countShape(capacity resource.Size, n int) {
	s := f.Shapes[capacity]
	if s == nil {
		s = &Shape{}
		f.Shapes[capacity] = s
		f.NewShapeAt = f.Now
	}
	s.Workers += n
	s.ChangedAt = f.Now
}

// UpdateIndex updates the capacity index with the worker's free capacity that any task may use.
func (f *Fleet) UpdateIndex(w *Worker) {
	w.SharesStale = true
	if w.Domain == nil {
		return
	}
	open := w.UnreservedFree()
	if w.Blame.Suspended() && !w.Blame.Probes(f.Now, len(w.Tasks)) {
		open = noCapacity
	}
	w.Domain.Rooms.Set(w.slot, open)
}

// UnreservedFree returns the free capacity that is not reserved.
func (w *Worker) UnreservedFree() resource.Size {
	return w.Free.Sub(w.reservedSize)
}

// Reserve reserves capacity on a worker for one task until the given time.
func (f *Fleet) Reserve(w *Worker, t *Task, size resource.Size, until time.Time) {
	w.reservedFor, w.reservedSize, w.until, t.Reserved = t, size, until, w
	f.Reserved = append(f.Reserved, w)
	f.UpdateIndex(w)
}

// ReservedSize returns the reserved capacity.
func (w *Worker) ReservedSize() resource.Size {
	return w.reservedSize
}

// IsReserved reports whether capacity on the worker is reserved for a task.
func (w *Worker) IsReserved() bool {
	return w.reservedFor != nil
}

// Unreserve removes the reservation for a task, if there is one.
func (f *Fleet) Unreserve(t *Task) {
	w := t.Reserved
	if w == nil {
		return
	}
	t.Reserved, w.reservedFor, w.reservedSize = nil, nil, resource.Size{}
	if i := slices.Index(f.Reserved, w); i >= 0 {
		f.Reserved = slices.Delete(f.Reserved, i, i+1)
	}
	f.UpdateIndex(w)
}

// ExpireReservations removes expired reservations.
func (f *Fleet) ExpireReservations() {
	for _, w := range slices.Clone(f.Reserved) {
		if !f.Now.Before(w.until) {
			f.Unreserve(w.reservedFor)
		}
	}
}

// Hold assigns capacity on a worker to a task.
func (f *Fleet) Hold(t *Task, w *Worker, size resource.Size) {
	t.Job.Class.Running++
	t.charge(t.Job.Charge(size))
	t.Committed, t.Worker = size, w
	t.slot = int32(len(w.Tasks))
	w.Tasks = append(w.Tasks, t)
	w.Free = w.Free.Sub(size)
	f.UpdateIndex(w)
}

// HoldByName is Hold for a worker given by name, which need not be known yet.
func (f *Fleet) HoldByName(t *Task, worker string, size resource.Size) {
	f.Hold(t, f.worker(worker), size)
}

// Release frees the capacity that a task holds, if any.
func (f *Fleet) Release(t *Task) {
	w := t.Worker
	if w == nil {
		return
	}
	t.Job.Class.Running--
	t.charge(resource.Size{})
	t.Worker = nil
	last := len(w.Tasks) - 1
	w.Tasks[t.slot] = w.Tasks[last]
	w.Tasks[t.slot].slot = t.slot
	w.Tasks[last] = nil
	w.Tasks = w.Tasks[:last]
	w.Free = w.Free.Add(t.Committed)
	f.UpdateIndex(w)
	f.removeIfUnused(w)
}

// Recommit changes the size that a task holds.
func (f *Fleet) Recommit(t *Task, size resource.Size) {
	t.charge(t.Job.Charge(size))
	t.Worker.Free = t.Worker.Free.Add(t.Committed).Sub(size)
	t.Committed = size
	f.UpdateIndex(t.Worker)
}

// Overloaded reports whether nearly all of the worker's processors are in use, so that its tasks slow each other regardless of their programs.
func (w *Worker) Overloaded() bool {
	return w.Spare() < 0
}

// Spare returns the share of the worker's processors that can still be used before it is overloaded.
func (w *Worker) Spare() float64 {
	return overloadShare - w.Share(w.Used.MilliCPU)
}

// overloadShare is the share of a worker's processors in use above which it counts as overloaded.
const overloadShare = 0.95

// Share returns an amount of processor capacity as a share of the worker's processors.
func (w *Worker) Share(milliCPU int64) float64 {
	return float64(milliCPU) / float64(max(1, w.Capacity.MilliCPU))
}
