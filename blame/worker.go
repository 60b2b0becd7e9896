package blame

import "time"

// Options holds the limits of judgement; a zero field takes its default.
type Options struct {
	Jobs      int           // distinct jobs that a worker fails in a row before it is suspended
	Workers   int           // distinct trusted workers that a job fails on before it is given up
	Probation time.Duration // of the first suspension; it doubles with each further one
	Longest   time.Duration // suspension
	Probes    int           // single tasks that must end well, one after the other, before a worker is trusted again
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

// Worker is the record of one worker; its zero value is trusted.
type Worker struct {
	failed      []string // distinct jobs failed since the last success
	succeeded   bool     // has run something to its end
	suspensions int
	suspended   bool
	until       time.Time
	probes      int // ended well since the suspension
}

// Failed takes the failure of a job's task, and reports whether the worker is suspended by it; tasks that it still held when it was suspended don't count again.
func (w *Worker) Failed(now time.Time, job string, o *Options) bool {
	if w.suspended && now.Before(w.until) {
		return false
	}
	for _, each := range w.failed {
		if each == job && !w.suspended {
			return false
		}
	}
	if len(w.failed) < o.Jobs {
		w.failed = append(w.failed, job)
	}
	if !w.suspended && len(w.failed) < o.Jobs {
		return false
	}
	length := o.Probation << min(w.suspensions, longestShift)
	w.suspensions++
	w.suspended, w.probes, w.failed = true, 0, nil
	w.until = now.Add(min(length, o.Longest))
	return true
}

// longestShift keeps the doubling of a suspension within a duration.
const longestShift = 20

// Succeeded takes a task that ended well, and reports whether the worker is trusted again by it.
func (w *Worker) Succeeded(o *Options) bool {
	w.failed = nil
	w.succeeded = true
	if !w.suspended {
		return false
	}
	w.probes++
	if w.probes < o.Probes {
		return false
	}
	w.suspended = false
	w.suspensions--
	return true
}

// Suspended reports whether the worker may start no more than single probes.
func (w *Worker) Suspended() bool {
	return w.suspended
}

// Probes reports whether a suspended worker may start one task now, given how many it holds.
func (w *Worker) Probes(now time.Time, tasks int) bool {
	return tasks == 0 && !now.Before(w.until)
}

// Trusted reports whether a failure on the worker speaks against the job: it has run others well and none of late has failed but this.
func (w *Worker) Trusted() bool {
	return w.succeeded && !w.suspended && len(w.failed) <= 1
}
