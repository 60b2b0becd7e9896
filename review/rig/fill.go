package main

import (
	"errors"
	"time"
)

// fillCase hands in a submission that fills while the tasks that serve miss their target by their own load. It must run, since there is capacity for it and it is not the cause.
func fillCase(r *rig) (bool, error) {
	serving, filling := queue{name: "r-73hh2b9", prefix: "/pule252/", attempts: 2}, queue{name: "r-d3zji9n", prefix: "/pufi791/", priority: 2, attempts: 2}
	if err := r.configure(1, serving, filling); err != nil {
		return false, err
	}
	var all []*executor
	for i := range 3 {
		e, err := r.newExecutor(i, 16000, "a")
		if err != nil {
			return false, err
		}
		all = append(all, e)
	}
	time.Sleep(3 * time.Second)
	err := errors.Join(
		r.submit(serving.prefix+"5c0e7a21d94b36f8", submission(work{Lasts: true, Tail: 60, CPU: 4000},
			object{"count": 3, "cpu": 4000, word("memory"): 1024, "persistent": true, "image": "watch", word("target"): 100, word("at most on one"): 1})),
		r.await(20*time.Second, "all tasks are at work", func() bool { return all[0].atWork()+all[1].atWork()+all[2].atWork() == 3 }),
	)
	if err != nil {
		return false, err
	}
	if r.trouble {
		r.note("the load of the serving tasks rises")
		for _, e := range all {
			e.setLoad(2)
		}
	}
	time.Sleep(5 * time.Second)
	path := filling.prefix + "6c0e7a21d94b36f8"
	before := r.now()
	if err := r.submit(path, submission(work{MS: 1000, Fills: true, CPU: 2000},
		object{"count": 2, "cpu": 2000, word("memory"): 1024, "fills": true, "image": "sweep", word("estimate"): 1000})); err != nil {
		return false, err
	}
	time.Sleep(14 * time.Second)
	last := r.awaitState(path, 30*time.Second, "completed", "failed")
	r.note("submission %s: %s, %d starts in %.1f s", path, last, len(r.startsSince(before)), (r.now() - before).Seconds())
	return last != "completed" && len(r.startsSince(before)) == 0, nil
}
