package main

import (
	"net/http"
	"time"
)

func init() { scenarios["renamed"] = scenario{sizes{2, []executorKind{{12, "a"}}}, renamed} }

// renamed sends a config that removes the route and adds one with another name at the same place, while a submission is at work.
func renamed(in *installation) error {
	id := in.newID(workTime{shortest: 8 * time.Second})
	if err := in.submit(id, step{count: 6, milliCPU: 4000}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	name := routeName
	if in.trouble {
		name = "r-3hwrr6x"
	}
	if err := in.configure(configurationOf(2, route{name, prefix, maxAttempts})); err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond)
	for try := range in.gateways {
		if status, _ := in.state(try, id); status == http.StatusGone {
			_, now := in.begun(id)
			in.broken("LOST", "the state of submission %s was answered with 410 (at work: %v)", id, now)
		}
	}
	in.request(http.MethodDelete, 0, prefix+id, nil)
	time.Sleep(stopTimeout + time.Second)
	ever, now := in.begun(id)
	in.note("after the DELETE", "begun", ever, "at work", now)
	return nil
}
