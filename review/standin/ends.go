package main

import "time"

// Times of the case ends, all well below a lease.
const (
	shortWork = 3 * time.Second
	cutAfter  = 2800 * time.Millisecond // from when the submission is accepted
	cutFor    = 1500 * time.Millisecond
)

func init() { scenarios["ends"] = scenario{sizes{2, []executorKind{{11, "a"}, {1, "b"}}}, ends} }

// ends cuts an executor off for less than its lease while many short tasks end there, so that it lists their ends in several answers.
func ends(in *installation) error {
	b := in.onlyB()
	id := in.newID(workTime{shortest: shortWork})
	if err := in.submit(id, step{count: 2400, milliCPU: 26, requires: "b"}); err != nil {
		return err
	}
	time.Sleep(cutAfter)
	if in.trouble {
		in.note("executor is cut off", "executor", b.id)
		b.wire.setCut(true)
	}
	time.Sleep(cutFor)
	if in.trouble {
		b.wire.setCut(false)
		in.note("the cut is over", "executor", b.id)
	}
	time.Sleep(12 * time.Second)
	in.state(0, id)
	in.checkAfterDone()
	return nil
}
