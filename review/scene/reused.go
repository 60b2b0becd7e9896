package main

import (
	"fmt"
	"net/http"
	"time"
)

// chainSteps is the number of steps of a submission whose tasks start one after the other.
const chainSteps = 40

// chain returns a submission of steps that come one after the other, of one task of half a second each.
func chain() map[string]any {
	var steps []any
	for i := range chainSteps {
		step := map[string]any{"count": 1, "cpu": 4000, "mem-mb": 8000, words["estimate"]: 500}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	return map[string]any{"spec": `{"ms":500}`, "steps": steps}
}

// reused adds a route whose name an earlier version used for another place, while submissions of that place run.
func reused(d *deployment, trouble bool) error {
	const lasting, stepwise, tasks = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9", 6
	if err := d.addWorkers(mainPool, 3, 40); err != nil {
		return err
	}
	if err := d.addWorkers(sidePool, 4, 8); err != nil {
		return err
	}
	pools := []string{mainPool, sidePool}
	first, side := route{"r-one", host, firstPrefix, mainPool}, route{"r-two", host, secondPrefix, sidePool}
	if err := d.configure(7, pools, first, side); err != nil {
		return err
	}
	if err := d.submit(firstPrefix, lasting, submission(work{Lasts: true}, tasks, nil)); err != nil {
		return err
	}
	if err := d.awaitAtWork(lasting, tasks); err != nil {
		return err
	}
	if err := d.submit(firstPrefix, stepwise, chain()); err != nil {
		return err
	}
	first.name = "r-three"
	if err := d.configure(11, pools, first, side); err != nil {
		return err
	}
	time.Sleep(configApplyTime + contactTime)
	if status, _ := d.call(0, http.MethodGet, host, firstPrefix+lasting, nil); status != http.StatusOK {
		return fmt.Errorf("the state is answered with %d once the route has another name", status)
	}
	added := route{"r-four", host, thirdPrefix, sidePool}
	if trouble {
		added.name = "r-one"
	}
	if err := d.configure(13, pools, first, side, added); err != nil {
		return err
	}
	time.Sleep(configApplyTime + contactTime)
	return d.judgeReused(lasting, stepwise)
}

// judgeReused reads and cancels the lasting submission at its place, and looks where the other one runs.
func (d *deployment) judgeReused(lasting, stepwise string) error {
	gone := 0
	for g := range gateways {
		if status, _ := d.call(g, http.MethodGet, host, firstPrefix+lasting, nil); status == http.StatusGone {
			gone++
		}
	}
	elsewhere, _ := d.call(0, http.MethodGet, host, thirdPrefix+lasting, nil)
	misplaced := wait(contactTime, func() bool { return d.atWork(stepwise, sidePool) > 0 })
	cancelled, _ := d.call(1, http.MethodDelete, host, firstPrefix+lasting, nil)
	if cancelled != http.StatusOK && cancelled != http.StatusGone {
		return fmt.Errorf("the cancellation is answered with %d", cancelled)
	}
	time.Sleep(cancelTime + stopTimeout + contactTime)
	left := d.atWork(lasting, "")
	seen := fmt.Sprintf("%d of %d reads of an accepted submission were answered with 410 (%d at the added route); its cancellation was answered with %d, after which %d tasks run on; tasks of its place start on the other service: %v", gone, gateways, elsewhere, cancelled, left, misplaced)
	d.note("%s", seen)
	if gone > 0 || left > 0 || misplaced {
		return fmt.Errorf("%w: %s", errBroken, seen)
	}
	return nil
}
