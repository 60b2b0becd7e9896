package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { scenarios["odd"] = scenario{sizes{2, []executorKind{{12, "a"}}}, odd} }

// odd sends one check-in of another writer, whose service no config names, with the address of an executor.
func odd(in *installation) error {
	id := in.newID(workTime{shortest: 8 * time.Second})
	if err := in.submit(id, step{count: 6, milliCPU: 4000}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	busy := in.executorOf(id)
	if busy == nil {
		return errors.New("no task of the submission runs")
	}
	if in.trouble {
		report := busy.report()
		report["service"] = "kelu77"
		report["born"] = time.Now().UnixMilli()
		report["seq"] = 1
		member := in.address(in.members[0].ip, controlPort)
		status, _, at := in.callFollowing(http.MethodPut, member, word("instances")+"i-00c0ffee", "", encode(report), time.Second, 2)
		in.note("odd check-in", "member", at, "service", report["service"], "address", report["address"], "status", status)
	}
	time.Sleep(20 * time.Second)
	in.state(0, id)
	in.checkTogether()
	return nil
}

// executorOf returns an executor on which a task of a submission is at work.
func (in *installation) executorOf(id string) *executor {
	for task, runs := range in.byTask() {
		for _, seen := range runs {
			if task[:len(id)] != id || seen.end != 0 {
				continue
			}
			for _, e := range in.executors {
				if e.id == seen.executor {
					return e
				}
			}
		}
	}
	return nil
}
