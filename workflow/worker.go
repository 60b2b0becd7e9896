package workflow

import (
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// maxGone bounds how many ended lives are remembered, so that a late announcement cannot revive them.
const maxGone = 20_000

// setWorker takes in what a worker says of itself; an earlier life of it, or of another at its address, has ended.
func (t *Tables) setWorker(w *wire.CalledWorker) {
	if gone := t.gone[w.GetId()]; gone != nil && gone.GetBorn() >= w.GetBorn() {
		return
	}
	last := t.Workers[w.GetId()]
	if last != nil && last.GetBorn() > w.GetBorn() || t.replaced(w) {
		return
	}
	if last != nil && last.GetBorn() < w.GetBorn() {
		t.lose(last)
		last = nil
	}
	t.WorkerChanges++
	t.endFormer(w)
	if w.GetGone() {
		t.bury(w, last)
		return
	}
	if last == nil {
		t.Workers[w.GetId()] = &Worker{CalledWorker: w, Tasks: map[*Task]struct{}{}, Capacity: resource.FromWire(w.GetCapacity())}
		return
	}
	w.Leaving = w.GetLeaving() || last.GetLeaving()
	last.CalledWorker, last.Capacity = w, resource.FromWire(w.GetCapacity())
}

// replaced says whether another worker with a later start lives at the address.
func (t *Tables) replaced(w *wire.CalledWorker) bool {
	for id, other := range t.Workers {
		if id != w.GetId() && other.GetAddress() == w.GetAddress() && other.GetBorn() > w.GetBorn() {
			return true
		}
	}
	return false
}

// endFormer ends the lives that had the address before.
func (t *Tables) endFormer(w *wire.CalledWorker) {
	for id, other := range t.Workers {
		if id != w.GetId() && other.GetAddress() == w.GetAddress() && other.GetBorn() < w.GetBorn() {
			t.bury(other.CalledWorker, other)
		}
	}
}

func (t *Tables) bury(w *wire.CalledWorker, last *Worker) {
	if last != nil {
		t.lose(last)
	}
	if len(t.gone) >= maxGone {
		t.gone = map[string]*wire.CalledWorker{}
	}
	t.gone[w.GetId()] = &wire.CalledWorker{Id: w.GetId(), Born: w.GetBorn(), Gone: true}
}

// lose ends what ran in a life that is over.
func (t *Tables) lose(w *Worker) {
	for task := range w.Tasks {
		t.free(task)
	}
	delete(t.Workers, w.GetId())
}

// Known says whether an announcement tells nothing that the state does not hold.
func (t *Tables) Known(w *wire.CalledWorker) bool {
	if gone := t.gone[w.GetId()]; gone != nil && gone.GetBorn() >= w.GetBorn() {
		return true
	}
	last := t.Workers[w.GetId()]
	if last == nil || last.GetBorn() != w.GetBorn() {
		return false
	}
	return last.GetAddress() == w.GetAddress() && last.GetPool() == w.GetPool() && (last.GetLeaving() || !w.GetLeaving()) && !w.GetGone()
}
