package main

import (
	"fmt"
	"net/http"
	"time"
)

// silentTime is how long the operator waits with the next version after a channel has gone silent.
const silentTime = 100 * time.Millisecond

// refused silences the channel between a gateway and the leader just after a submission has passed it. Before the gateway notices, a version without the submission's route is acknowledged.
func refused(d *deployment, trouble bool) error {
	const id = "3f7a7a21d94b36f8"
	if err := d.addWorkers(mainPool, 3, 40); err != nil {
		return err
	}
	if err := d.addWorkers(sidePool, 4, 8); err != nil {
		return err
	}
	pools := []string{mainPool, sidePool}
	kept, removed := route{"r-one", host, firstPrefix, mainPool}, route{"r-two", host, secondPrefix, sidePool}
	if err := d.configure(7, pools, kept, removed); err != nil {
		return err
	}
	if err := d.submit(secondPrefix, "3f7a7a21d94b0000", submission(work{MS: 300}, 1, nil)); err != nil {
		return err
	}
	time.Sleep(contactTime)
	silenced := make(<-chan struct{})
	if trouble {
		silenced = d.trigger.arm(id)
	}
	answer := make(chan int, 1)
	go func() {
		status, _ := d.call(0, http.MethodPost, host, secondPrefix+id, submission(work{MS: 300}, 4, nil))
		answer <- status
	}()
	if trouble {
		select {
		case <-silenced:
			d.note("the channel that passed the submission to a member goes silent")
		case <-time.After(callerDeadline):
			return fmt.Errorf("the submission did not pass a forwarder")
		}
	}
	time.Sleep(silentTime)
	if err := d.configure(11, pools, kept); err != nil {
		return err
	}
	status := <-answer
	time.Sleep(placeTimeout)
	begun := d.begun(id)
	d.note("the only attempt was answered with %d, and %d tasks have begun", status, begun)
	if (status == http.StatusNotFound || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) && begun > 0 {
		return fmt.Errorf("%w: the only attempt to hand a submission in was answered with %d, and %d of its tasks have begun", errBroken, status, begun)
	}
	return nil
}
