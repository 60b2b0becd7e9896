package blame

// Job is the failure record of one job; its zero value has no failures.
type Job struct {
	failedWorkers []string // distinct workers that its tasks have failed on since its last success
	succeeded     bool
}

// Failed records a failure of a task of the job on a worker.
func (j *Job) Failed(worker string) {
	for _, name := range j.failedWorkers {
		if name == worker {
			return
		}
	}
	if len(j.failedWorkers) < maxFailedWorkers {
		j.failedWorkers = append(j.failedWorkers, worker)
	}
}

// maxFailedWorkers bounds the number of workers in a job's record.
const maxFailedWorkers = 16

// Succeeded records that a task of the job completed.
func (j *Job) Succeeded() {
	j.failedWorkers = nil
	j.succeeded = true
}

// Suspected reports whether the job has failed on at least two workers and never succeeded, so that its failures no longer count against workers.
func (j *Job) Suspected() bool {
	return len(j.failedWorkers) >= 2 && !j.succeeded
}

// Bad reports whether the job has failed on enough distinct trusted workers to be given up.
func (j *Job) Bad(trusted func(worker string) bool, o *Options) bool {
	n := 0
	for _, name := range j.failedWorkers {
		if trusted(name) {
			n++
		}
	}
	return n >= o.Workers
}
