package main

import "time"

// Times of the case excluded.
const (
	failingFor = 6500 * time.Millisecond
	finishTime = 14 * time.Second // after the end of the traffic
	idleTime   = 3 * time.Second  // for which nothing of a submission may run while there is room
)

func init() {
	scenarios["excluded"] = scenario{sizes{2, []executorKind{{11, "a"}, {1, "b"}}}, excluded}
}

// excluded has the only executor that may run a task fail its first run.
func excluded(in *installation) error {
	b := in.onlyB()
	if in.trouble {
		in.note("executor fails all that it starts", "executor", b.id, "for", failingFor)
		b.setFailing(time.Now().Add(failingFor))
	}
	id := in.newID(workTime{shortest: 2 * time.Second})
	if err := in.submit(id, step{count: 1, milliCPU: 4000, requires: "b"}); err != nil {
		return err
	}
	time.Sleep(finishTime)
	idleSince := time.Now()
	for try := 0; time.Since(idleSince) < idleTime; try++ {
		if _, state := in.state(try, id); state == "completed" || state == "failed" {
			return nil
		}
		if _, now := in.begun(id); now {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	in.broken("LOST", "nothing of submission %s has run for %v, and its executor is idle", id, idleTime)
	return nil
}

func (e *executor) setFailing(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = until
}
