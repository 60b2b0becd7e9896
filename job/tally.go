package job

import (
	"daisyswitch/configuration"
	"daisyswitch/wire"
)

const msPerDay = 24 * 60 * 60 * 1000

// tally returns the counts of a class, with those of the day begun anew if a later day has come.
func (tb *Table) tally(class string) *wire.Tally {
	t := tb.tallies[class]
	if t == nil {
		t = &wire.Tally{Class: class}
		tb.tallies[class] = t
	}
	if day := tb.now / msPerDay; day > t.Day {
		t.Day = day
		t.DoneToday = 0
	}
	return t
}

// count adds a task that has ended to its class.
func (tb *Table) count(j *job, t *wire.Task) {
	switch t.State {
	case wire.TaskState_TASK_STATE_DONE:
		tally := tb.tally(j.Class)
		tally.Done++
		tally.DoneToday++
	case wire.TaskState_TASK_STATE_FAILED:
		tb.tally(j.Class).Failed++
	}
}

// DropTallies forgets the counts of classes that were removed.
func (tb *Table) DropTallies() {
	for name := range tb.tallies {
		if configuration.Class(tb.o.Configuration().Classes, name) == nil {
			delete(tb.tallies, name)
		}
	}
}

// Fold forgets the jobs that ended and the workers that went longest ago, where there are too many.
func (tb *Table) Fold() {
	for len(tb.ended) > KeepEndedJobs || (tb.endedTasks > KeepEndedTasks && len(tb.ended) > 1) {
		j := tb.ended[0]
		tb.ended = tb.ended[1:]
		tb.endedTasks -= len(j.tasks)
		delete(tb.jobs, j.Id)
	}
	for len(tb.gone) > KeepGone {
		delete(tb.workers, tb.gone[0])
		tb.gone = tb.gone[1:]
	}
}

// foldLost drops the oldest lost replica of a job that shows too many.
func (tb *Table) foldLost(j *job) {
	if j.lost <= KeepLost {
		return
	}
	for at, t := range j.tasks {
		if t.State == wire.TaskState_TASK_STATE_LOST {
			j.tasks = append(j.tasks[:at:at], j.tasks[at+1:]...)
			j.lost--
			return
		}
	}
}
