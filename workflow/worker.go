package workflow

import (
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// setWorker applies a worker's announcement, or a leader's record that it has departed or is gone. It ends no other worker that has the same address, since any writer can name an address; only an answer from there shows whose it is.
// A later incarnation may have accepted starts that were meant for an earlier one, so it inherits the tasks until it is known not to run them.
func (t *Tables) setWorker(w *wire.CalledWorker) {
	if gone := t.gone[w.GetId()]; gone != nil && gone.GetBorn() >= w.GetBorn() {
		return
	}
	if w.GetDeparted() {
		t.markDeparted(w)
		return
	}
	last := t.Workers[w.GetId()]
	if last != nil && last.GetBorn() > w.GetBorn() {
		return
	}
	t.WorkerChanges++
	w.Restarts = t.restartsBefore(w)
	if w.GetGone() {
		t.markGone(w, last)
		return
	}
	if last == nil || last.GetBorn() < w.GetBorn() {
		t.addIncarnation(w, last)
		return
	}
	w.Leaving, w.Departed = w.GetLeaving() || last.GetLeaving(), last.GetDeparted()
	t.changePool(last, w.GetPool())
	last.CalledWorker, last.Capacity = w, resource.FromWire(w.GetCapacity())
}

// restartsBefore returns how many earlier incarnations under the id of a worker the state has seen.
func (t *Tables) restartsBefore(w *wire.CalledWorker) uint64 {
	former := t.gone[w.GetId()]
	if last := t.Workers[w.GetId()]; last != nil {
		former = last.CalledWorker
	}
	switch {
	case former == nil:
		return 0
	case former.GetBorn() == w.GetBorn():
		return former.GetRestarts()
	default:
		return former.GetRestarts() + 1
	}
}

// addIncarnation adds a worker's incarnation, which inherits the tasks of the last one.
func (t *Tables) addIncarnation(w *wire.CalledWorker, last *Worker) {
	next := &Worker{CalledWorker: w, Tasks: map[*Task]struct{}{}, Capacity: resource.FromWire(w.GetCapacity())}
	t.Workers[w.GetId()] = next
	if last == nil {
		return
	}
	for task := range last.Tasks {
		t.removeTask(task)
		task.Worker = next
		t.addTask(next, task)
		t.onAssigned(task)
	}
}

// removeWorker removes an ended incarnation and releases its tasks.
func (t *Tables) removeWorker(w *Worker) {
	delete(t.Workers, w.GetId())
	for task := range w.Tasks {
		t.releaseTask(task)
	}
}

// MayAnnounce reports whether an announcement can be a worker's: its pool has to be used by a queue or by an open job of a former one, or be the one that the worker had before.
func (t *Tables) MayAnnounce(w *wire.CalledWorker) bool {
	if last := t.Workers[w.GetId()]; t.Queues == nil || last != nil && last.GetPool() == w.GetPool() {
		return true
	}
	return t.pools[w.GetPool()]
}

// Recorded reports whether an announcement contains nothing that is not already in the state.
func (t *Tables) Recorded(w *wire.CalledWorker) bool {
	if gone := t.gone[w.GetId()]; gone != nil && gone.GetBorn() >= w.GetBorn() {
		return true
	}
	last := t.Workers[w.GetId()]
	if last == nil || last.GetBorn() != w.GetBorn() {
		return false
	}
	return last.GetAddress() == w.GetAddress() && last.GetPool() == w.GetPool() && (last.GetLeaving() || !w.GetLeaving()) && !w.GetGone()
}
