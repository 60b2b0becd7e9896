package blame

import "time"

// Options holds the thresholds for suspending workers and giving up jobs; a zero field takes its default.
type Options struct {
	Jobs      int           // distinct jobs that fail on a worker without a success in between before it is suspended
	Workers   int           // distinct trusted workers that a job fails on before it is given up
	Probation time.Duration // length of the first suspension; it doubles with each further one
	Longest   time.Duration // maximum length of a suspension
	Probes    int           // successes, one task at a time, before a suspended worker is trusted again
}

var defaults = Options{Jobs: 3, Workers: 3, Probation: 30 * time.Second, Longest: time.Hour, Probes: 3}

// WithDefaults returns the options with defaults for zero fields.
func (o Options) WithDefaults() Options {
	if o.Jobs == 0 {
		o.Jobs = defaults.Jobs
	}
	if o.Workers == 0 {
		o.Workers = defaults.Workers
	}
	if o.Probation == 0 {
		o.Probation = defaults.Probation
	}
	if o.Longest == 0 {
		o.Longest = defaults.Longest
	}
	if o.Probes == 0 {
		o.Probes = defaults.Probes
	}
	return o
}

// Worker is the failure record of one worker; its zero value is not suspended.
type Worker struct {
	failedJobs     []string // distinct jobs that have failed on it since the last success
	succeeded      bool     // whether a task has ever succeeded on it
	suspensions    int
	suspended      bool
	suspendedUntil time.Time
	probesPassed   int // successful probes since the suspension
}

// Failed records the failure of a job's task, and reports whether it suspends the worker. Failures during a suspension don't count, since those tasks were already on the worker when it began.
func (w *Worker) Failed(now time.Time, job string, o *Options) bool {
	if w.suspended && now.Before(w.suspendedUntil) {
		return false
	}
	for _, id := range w.failedJobs {
		if id == job && !w.suspended {
			return false
		}
	}
	if len(w.failedJobs) < o.Jobs {
		w.failedJobs = append(w.failedJobs, job)
	}
	if !w.suspended && len(w.failedJobs) < o.Jobs {
		return false
	}
	length := o.Probation << min(w.suspensions, maxDoublings)
	w.suspensions++
	w.suspended, w.probesPassed, w.failedJobs = true, 0, nil
	w.suspendedUntil = now.Add(min(length, o.Longest))
	return true
}

// maxDoublings keeps the doubling of a suspension from overflowing a duration.
const maxDoublings = 20

// Succeeded records the success of a task, and reports whether it ends the worker's suspension.
func (w *Worker) Succeeded(o *Options) bool {
	w.failedJobs = nil
	w.succeeded = true
	if !w.suspended {
		return false
	}
	w.probesPassed++
	if w.probesPassed < o.Probes {
		return false
	}
	w.suspended = false
	w.suspensions--
	return true
}

// Suspended reports whether the worker is limited to single probes.
func (w *Worker) Suspended() bool {
	return w.suspended
}

// Probes reports whether a suspended worker may start a probe now, given the number of tasks that it holds.
func (w *Worker) Probes(now time.Time, tasks int) bool {
	return tasks == 0 && !now.Before(w.suspendedUntil)
}

// Trusted reports whether a failure on the worker counts against the job: the worker has had a success, is not suspended, and at most one job has failed on it since its last success.
func (w *Worker) Trusted() bool {
	return w.succeeded && !w.suspended && len(w.failedJobs) <= 1
}
