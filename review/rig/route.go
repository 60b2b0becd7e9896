package main

import (
	"fmt"
	"net/http"
	"time"
)

// routeCase loses the answer to a submission on a channel between a gateway and the leader that goes silent, and drops the submission's route meanwhile. A submission whose only attempt was rejected must not run.
func routeCase(r *rig) (bool, error) {
	const rounds = 3
	kept := queue{name: "r-73hh2b9", prefix: "/pule252/", attempts: 2}
	for i := range 3 {
		if _, err := r.newExecutor(i, 16000, "a"); err != nil {
			return false, err
		}
	}
	broken := false
	for round := range rounds {
		dropped := queue{name: fmt.Sprintf("r-d3zji9n-%d", round), prefix: fmt.Sprintf("/pufi%d/", 791+round), attempts: 2}
		if err := r.configure(10*round+1, kept, dropped); err != nil {
			return false, err
		}
		time.Sleep(5 * time.Second)
		path := dropped.prefix + fmt.Sprintf("%016x", 0x5c0e7a21d94b36f8+round)
		ranRejected, err := r.submitAsRouteIsDropped(path, kept, 10*round+2)
		if err != nil {
			return false, err
		}
		broken = broken || ranRejected
	}
	return broken, nil
}

// submitAsRouteIsDropped plays one round and reports whether the submission was rejected and ran.
func (r *rig) submitAsRouteIsDropped(path string, kept queue, version int) (bool, error) {
	leader := r.leader()
	if leader == nil {
		return false, fmt.Errorf("no member leads")
	}
	before := r.now()
	if r.trouble {
		r.note("the open channels to %s, which leads, go silent; new ones work", leader.name)
		leader.forwarder.silence()
	}
	answered := make(chan int, 1)
	go func() {
		body := submission(work{MS: 1000, CPU: 1000}, object{"count": 1, "cpu": 1000, word("memory"): 256, word("estimate"): 1000})
		status, _, err := r.ask(0, http.MethodPost, path, body, 3*time.Second)
		if err != nil {
			status = 0
		}
		answered <- status
	}()
	time.Sleep(100 * time.Millisecond)
	if err := r.configureAt(leader, version, kept); err != nil {
		return false, err
	}
	status := <-answered
	time.Sleep(3 * time.Second)
	starts := len(r.startsSince(before))
	rejected := status == http.StatusNotFound || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	r.note("submission %s: its only attempt was answered with %d, and it had %d starts", path, status, starts)
	return rejected && starts > 0, nil
}
