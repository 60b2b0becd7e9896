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
	time.Sleep(10 * time.Second)
	for range 20 {
		if err := in.submit(in.newID(workTime{shortest: time.Second}), step{count: 6, milliCPU: 4000}); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	in.state(0, id)
	in.note("runs begun", "executor", busy.id, "all", in.runsOn(busy.id))
	in.checkTogether()
	return nil
}

// runsOn counts the runs that an executor has begun.
func (in *installation) runsOn(executor string) int {
	count := 0
	for _, runs := range in.byTask() {
		for _, seen := range runs {
			if seen.executor == executor {
				count++
			}
		}
	}
	return count
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
