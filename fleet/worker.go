package fleet

import (
	"slices"
	"time"

	"daisyswitch/blame"
	"daisyswitch/interference"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Worker is a worker with the tasks that hold room on it.
type Worker struct {
	Name     string
	Rack     string
	Domain   *Domain       // nil while it is not there
	Capacity resource.Size // zero while it is not there
	Free     resource.Size // capacity less what is committed and proposed
	Tasks    []*Task
	Blame    blame.Worker

	Shares []interference.Share // of the batch programs on it, kept by package usage
	Stale  bool                 // Shares are to be counted again
	Used   resource.Size        // as last measured, of all its tasks

	Pressed bool      // on the list of package pressure
	Stepped time.Time // last step of relief

	slot     int
	reserved *Task // urgent task or replica that room is being made for
	kept     resource.Size
	until    time.Time
}

// noRoom keeps a worker out of the index.
var noRoom = resource.Size{MilliCPU: -1}

// SetWorker takes a worker's record; one that is gone starts nothing more, but its tasks stay on it until the state says otherwise.
func (f *Fleet) SetWorker(r *wire.WorkerRecord) {
	w := f.worker(r.GetName())
	capacity := resource.FromWire(r.GetCapacity())
	if w.Domain != nil && (r.GetGone() || w.Domain.Name != r.GetDomain() || w.Capacity != capacity) {
		f.leave(w)
	}
	if r.GetGone() {
		f.countShape(capacity, 0)
		f.dropIfEmpty(w)
		return
	}
	w.Rack = r.GetRack()
	if w.Domain == nil {
		f.join(w, f.domain(r.GetDomain()), capacity)
	}
}

func (f *Fleet) worker(name string) *Worker {
	w := f.Workers[name]
	if w == nil {
		w = &Worker{Name: name, Stale: true}
		f.Workers[name] = w
	}
	return w
}

func (f *Fleet) join(w *Worker, d *Domain, capacity resource.Size) {
	w.Domain = d
	w.slot = d.Rooms.Add(noRoom)
	if w.slot == len(d.Workers) {
		d.Workers = append(d.Workers, nil)
	}
	d.Workers[w.slot] = w
	w.Capacity = capacity
	w.Free = w.Free.Add(capacity)
	f.Total = f.Total.Add(capacity)
	f.countShape(capacity, 1)
	f.Offer(w)
}

func (f *Fleet) leave(w *Worker) {
	w.Domain.Rooms.Remove(w.slot)
	w.Domain.Workers[w.slot] = nil
	w.Domain = nil
	w.Free = w.Free.Sub(w.Capacity)
	f.Total = f.Total.Sub(w.Capacity)
	f.countShape(w.Capacity, -1)
	w.Capacity = resource.Size{}
}

func (f *Fleet) dropIfEmpty(w *Worker) {
	if w.Domain == nil && len(w.Tasks) == 0 {
		delete(f.Workers, w.Name)
	}
}

func (f *Fleet) countShape(capacity resource.Size, n int) {
	s := f.Shapes[capacity]
	if s == nil {
		s = &Shape{}
		f.Shapes[capacity] = s
		f.Changed = f.Now
	}
	s.Workers += n
	s.Gone = f.Now
}

// Offer tells the index how much room of a worker is open to any task.
func (f *Fleet) Offer(w *Worker) {
	w.Stale = true
	if w.Domain == nil {
		return
	}
	open := w.Open()
	if w.Blame.Suspended() && !w.Blame.Probes(f.Now, len(w.Tasks)) {
		open = noRoom
	}
	w.Domain.Rooms.Set(w.slot, open)
}

// Open returns the free room that is not reserved.
func (w *Worker) Open() resource.Size {
	return w.Free.Sub(w.kept)
}

// Reserve keeps room on a worker for one task until a time.
func (f *Fleet) Reserve(w *Worker, t *Task, size resource.Size, until time.Time) {
	w.reserved, w.kept, w.until, t.Reserved = t, size, until, w
	f.Reserved = append(f.Reserved, w)
	f.Offer(w)
}

// Kept returns how much room is reserved.
func (w *Worker) Kept() resource.Size {
	return w.kept
}

// IsReserved reports whether room on the worker is kept for a task.
func (w *Worker) IsReserved() bool {
	return w.reserved != nil
}

// Unreserve ends the reservation for a task, if there is one.
func (f *Fleet) Unreserve(t *Task) {
	w := t.Reserved
	if w == nil {
		return
	}
	t.Reserved, w.reserved, w.kept = nil, nil, resource.Size{}
	if i := slices.Index(f.Reserved, w); i >= 0 {
		f.Reserved = slices.Delete(f.Reserved, i, i+1)
	}
	f.Offer(w)
}

// ExpireReservations ends the reservations whose time is over.
func (f *Fleet) ExpireReservations() {
	for _, w := range slices.Clone(f.Reserved) {
		if !f.Now.Before(w.until) {
			f.Unreserve(w.reserved)
		}
	}
}

// Hold commits room on a worker to a task.
func (f *Fleet) Hold(t *Task, w *Worker, size resource.Size) {
	t.Job.Class.Running++
	t.charge(t.Job.Charge(size))
	t.Committed, t.Worker = size, w
	t.slot = int32(len(w.Tasks))
	w.Tasks = append(w.Tasks, t)
	w.Free = w.Free.Sub(size)
	f.Offer(w)
}

// HoldNamed is Hold on the worker of this name, which may be unknown as yet.
func (f *Fleet) HoldNamed(t *Task, worker string, size resource.Size) {
	f.Hold(t, f.worker(worker), size)
}

// Release gives back what a task holds, if it holds anything.
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
	f.Offer(w)
	f.dropIfEmpty(w)
}

// Recommit changes what a task holds.
func (f *Fleet) Recommit(t *Task, size resource.Size) {
	t.charge(t.Job.Charge(size))
	t.Worker.Free = t.Worker.Free.Add(t.Committed).Sub(size)
	t.Committed = size
	f.Offer(t.Worker)
}

// Overloaded reports whether the worker's processors are all in use, so that its tasks hinder each other whatever they are.
func (w *Worker) Overloaded() bool {
	return w.Spare() < 0
}

// Spare is the share of the worker's processors that may still be used before it is overloaded.
func (w *Worker) Spare() float64 {
	return overload - w.Share(w.Used.MilliCPU)
}

// overload is the share of a worker's processors in use.
const overload = 0.95

// Share returns the share of the worker's processors that an amount is.
func (w *Worker) Share(milliCPU int64) float64 {
	return float64(milliCPU) / float64(max(1, w.Capacity.MilliCPU))
}
