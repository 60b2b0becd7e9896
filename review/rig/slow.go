package main

import (
	"errors"
	"time"
)

// slowCase raises the load of the tasks that serve beside lasting tasks that fill. No more of these may be stopped at a time than their step allows to be away.
func slowCase(r *rig) (bool, error) {
	serving, filling := queue{name: "r-73hh2b9", prefix: "/pule252/", attempts: 2}, queue{name: "r-d3zji9n", prefix: "/pufi791/", priority: 2, attempts: 2}
	if err := r.configure(1, serving, filling); err != nil {
		return false, err
	}
	var all []*executor
	for i := range 2 {
		e, err := r.newExecutor(i, 16000, "a")
		if err != nil {
			return false, err
		}
		all = append(all, e)
	}
	time.Sleep(3 * time.Second)
	const mayBeAway, id = 1, "6c0e7a21d94b36f8"
	r.away.setLimit(id+".0.0", mayBeAway)
	err := errors.Join(
		r.submit(serving.prefix+"5c0e7a21d94b36f8", submission(work{Lasts: true, Tail: 30, CPU: 4000},
			object{"count": 2, "cpu": 4000, word("memory"): 1024, "persistent": true, "image": "watch", word("target"): 100, word("at most on one"): 1})),
		r.submit(filling.prefix+id, submission(work{Lasts: true, Fills: true, CPU: 4000},
			object{"count": 4, "cpu": 4000, word("memory"): 1024, "persistent": true, "fills": true, "checkpointing": true, "image": "sweep", word("may be away"): mayBeAway})),
		r.await(20*time.Second, "all tasks are at work", func() bool { return all[0].atWork()+all[1].atWork() == 6 }),
	)
	if err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if r.trouble {
		r.note("the load of the serving tasks rises")
		for _, e := range all {
			e.setLoad(2.8)
		}
	}
	time.Sleep(8 * time.Second)
	for _, e := range all {
		e.setLoad(1)
	}
	time.Sleep(4 * time.Second)
	r.note("%d tasks at work were stopped while %d other of their step was away", r.away.count(), mayBeAway)
	return r.away.count() > 0, nil
}
