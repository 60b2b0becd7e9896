package job

import "daisyswitch/wire"

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
