package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the small deployment.
const (
	configApplyTime = 2 * time.Second
	cancelTime      = 3 * time.Second
	stopTimeout     = 900 * time.Millisecond
	contactTime     = 3 * time.Second
	placeTimeout    = 10 * time.Second // for a submission to be at work in calm
)

// Names of the two services, and the places of the routes.
const (
	mainPool     = "garapon"
	sidePool     = "deposito"
	host         = "nony24.example"
	firstPrefix  = "/lohu930/"
	secondPrefix = "/pule252/"
	thirdPrefix  = "/xafi540/"
)

// atWork returns how many tasks of a submission run on the workers of a pool, on all workers if it is empty.
func (d *deployment) atWork(id, pool string) int {
	tasks := 0
	for _, w := range d.workers {
		if pool == "" || w.pool == pool {
			tasks += len(w.runsOf(id))
		}
	}
	return tasks
}

// submit hands in a submission, again as long as it is not accepted.
func (d *deployment) submit(prefix, id string, body map[string]any) error {
	for try := range operatorTries {
		if status, _ := d.call(try%gateways, http.MethodPost, host, prefix+id, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(operatorPause)
	}
	return fmt.Errorf("submission %s was not accepted", id)
}

// awaitAtWork waits until a number of tasks of a submission run.
func (d *deployment) awaitAtWork(id string, tasks int) error {
	if !wait(placeTimeout, func() bool { return d.atWork(id, "") == tasks }) {
		return fmt.Errorf("%d of %d tasks are at work", d.atWork(id, ""), tasks)
	}
	return nil
}
