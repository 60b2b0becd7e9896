package main

import (
	"time"
)

// longCase hands in a submission of one task that takes some minutes and progresses steadily. It must not be without a run for 3 s while there is capacity for it.
func longCase(r *rig) (bool, error) {
	const finishTime, watched, mostIdle = 14 * time.Second, 60 * time.Second, 3 * time.Second
	q := queue{name: "r-d3zji9n", prefix: "/pufi791/", priority: 2, attempts: 2}
	if err := r.configure(1, q); err != nil {
		return false, err
	}
	for i, label := range []string{"a", "b"} {
		if _, err := r.newExecutor(i, 64000, label); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	ms := 20000
	if r.trouble {
		ms = 300000
	}
	path := q.prefix + "5c0e7a21d94b36f8"
	before := r.now()
	if err := r.submit(path, submission(work{MS: int64(ms), CPU: 1000}, object{"count": 1, "cpu": 1000, word("memory"): 256, word("estimate"): ms, "requires": "b"})); err != nil {
		return false, err
	}
	time.Sleep(finishTime)
	idleSince, longestIdle, last := r.now(), time.Duration(0), ""
	for until, looks := time.Now().Add(watched), 0; time.Now().Before(until) && last != "completed"; looks++ {
		if r.runningTasks() > 0 {
			idleSince = r.now()
		}
		longestIdle = max(longestIdle, r.now()-idleSince)
		if looks%50 == 0 {
			last = r.state(path)
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.note("submission %s of one task of %d s: %s, %d starts, longest without a run %.1f s", path, ms/1000, last, len(r.startsSince(before)), longestIdle.Seconds())
	return last != "completed" && longestIdle > mostIdle, nil
}

// runningTasks counts the runs on all executors.
func (r *rig) runningTasks() int {
	r.mu.Lock()
	executors := r.executors
	r.mu.Unlock()
	count := 0
	for _, e := range executors {
		e.mu.Lock()
		count += len(e.runs)
		e.mu.Unlock()
	}
	return count
}
