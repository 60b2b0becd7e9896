package blame

// Job is the record of one job; its zero value is good.
type Job struct {
	failed    []string // distinct workers that failed its tasks since its last success
	succeeded bool
}

// Failed takes the failure of a task of the job on a worker.
func (j *Job) Failed(worker string) {
	for _, each := range j.failed {
		if each == worker {
			return
		}
	}
	if len(j.failed) < mostWorkers {
		j.failed = append(j.failed, worker)
	}
}

// mostWorkers bounds how many workers a job's record names.
const mostWorkers = 16

// Succeeded takes a task of the job that ended well.
func (j *Job) Succeeded() {
	j.failed = nil
	j.succeeded = true
}

// Suspected reports whether the job has failed on two workers and succeeded nowhere, so that its failures no longer speak against workers.
func (j *Job) Suspected() bool {
	return len(j.failed) >= 2 && !j.succeeded
}

// Bad reports whether the job has failed on enough distinct workers that are trusted.
func (j *Job) Bad(trusted func(worker string) bool, o *Options) bool {
	n := 0
	for _, each := range j.failed {
		if trusted(each) {
			n++
		}
	}
	return n >= o.Workers
}
