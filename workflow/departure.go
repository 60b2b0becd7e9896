package workflow

import (
	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

// markDeparted records that an incarnation says that it has ended. It gets no new runs. Its tasks stay committed until each run is known to have ended, and it is removed with the last.
func (t *Tables) markDeparted(w *wire.CalledWorker) {
	last := t.Workers[w.GetId()]
	if last == nil || last.GetBorn() != w.GetBorn() || last.GetDeparted() {
		return
	}
	t.WorkerChanges++
	departed := proto.CloneOf(last.CalledWorker) // readers may hold the former record
	departed.Leaving, departed.Departed = true, true
	last.CalledWorker = departed
	t.removeIfEnded(last)
}

// removeIfEnded removes a departed worker that has no tasks.
func (t *Tables) removeIfEnded(w *Worker) {
	if w.GetDeparted() && len(w.Tasks) == 0 && t.Workers[w.GetId()] == w {
		t.WorkerChanges++
		t.markGone(w.CalledWorker, w)
	}
}
