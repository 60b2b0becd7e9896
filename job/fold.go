package job

import "daisyswitch/wire"

// Prune drops the jobs that ended first and the workers that left first, as far as there are more than the limits allow.
func (tb *Table) Prune() {
	for len(tb.endedJobs) > MaxEndedJobs || (tb.endedTasks > MaxEndedTasks && len(tb.endedJobs) > 1) {
		j := tb.endedJobs[0]
		tb.endedJobs = tb.endedJobs[1:]
		tb.endedTasks -= len(j.tasks)
		delete(tb.jobs, j.Id)
	}
	for len(tb.goneWorkers) > MaxGoneWorkers {
		delete(tb.workers, tb.goneWorkers[0])
		tb.goneWorkers = tb.goneWorkers[1:]
	}
}

// pruneLostReplicas drops the oldest lost replica of a job that has more than MaxLostReplicas of them.
func (tb *Table) pruneLostReplicas(j *job) {
	if j.lost <= MaxLostReplicas {
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
