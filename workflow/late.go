package workflow

import (
	"slices"

	"daisyswitch/wire"
)

// A later leader does not know which starts its predecessor sent without an answer, nor when. The state keeps which tasks have had one, and which ends their workers must not forget because of it.

func (t *Tables) markLateStarts(names []*wire.TaskName) {
	for _, name := range names {
		if task := t.Task(NameOf(name)); task != nil {
			task.LateStart = true
		}
	}
}

// recordLateEnd adds the end of a run to those that may not be acknowledged if a start of its task may be executed late, and removes those that have been.
func (w *Worker) recordLateEnd(task *Task, e *wire.RunEnd) {
	w.LateEnds = slices.DeleteFunc(w.LateEnds, func(number int64) bool { return number <= e.GetAcknowledged() })
	if task.LateStart {
		w.LateEnds = append(w.LateEnds, e.GetNumber())
	}
}
