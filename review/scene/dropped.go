package main

import (
	"fmt"
	"time"
)

// Bounds of the rule on lasting tasks: from graceTime after its last run, a task may not wait for idleTime in calm, with calmTime before.
const (
	graceTime = 6 * time.Second
	idleTime  = 3 * time.Second
	calmTime  = 4 * time.Second
	crashTime = 2 * time.Second
	watchTime = 25 * time.Second
)

// dropped removes a route whose submission goes on. Then the one worker that may run its tasks crashes, and another starts on its machine.
func dropped(d *deployment, trouble bool) error {
	const id, tasks, kind = "7e0d5a21d94b36f8", 2, "b"
	if err := d.addWorkers(mainPool, 3, 40); err != nil {
		return err
	}
	if err := d.addWorkers(sidePool, 4, 7); err != nil {
		return err
	}
	only := newWorker(d, "i-other-1", sidePool, fmt.Sprintf("%s.4.8:%d", d.network, workerPort), domainNames[0], []string{kind, "r4-1"})
	if err := d.startWorker(only); err != nil {
		return err
	}
	pools := []string{mainPool, sidePool}
	kept, removed := route{"r-one", host, firstPrefix, mainPool}, route{"r-two", host, secondPrefix, sidePool}
	if err := d.configure(7, pools, kept, removed); err != nil {
		return err
	}
	if err := d.submit(secondPrefix, id, submission(work{Lasts: true}, tasks, map[string]any{"requires": kind})); err != nil {
		return err
	}
	if err := d.awaitAtWork(id, tasks); err != nil {
		return err
	}
	if err := d.configure(11, pools, kept); err != nil {
		return err
	}
	time.Sleep(configApplyTime + contactTime)
	if trouble {
		d.note("worker %s crashes", only.id)
		only.crash()
		time.Sleep(crashTime)
		if err := d.startWorker(newWorker(d, "i-other-2", sidePool, only.address, only.domain, only.labels)); err != nil {
			return err
		}
		d.note("worker i-other-2 starts at the same address")
	}
	return d.judgeDropped(id, tasks, func() error { return d.configure(13, pools, kept, removed) })
}

// judgeDropped watches the tasks while the route is gone, and shows that they start once restore has brought it back.
func (d *deployment) judgeDropped(id string, tasks int, restore func() error) error {
	began, worked := time.Now(), time.Now()
	for time.Since(began) < watchTime {
		if d.atWork(id, "") == tasks {
			worked = time.Now()
		}
		time.Sleep(workTick)
	}
	idle := time.Since(worked).Round(time.Millisecond)
	d.note("%d of %d tasks are at work, for %v not all of them were", d.atWork(id, ""), tasks, idle)
	last := d.workers[len(d.workers)-1]
	last.mu.Lock()
	d.note("worker %s has %d check-ins acknowledged", last.id, last.acked)
	last.mu.Unlock()
	if err := restore(); err != nil {
		return err
	}
	returned := d.awaitAtWork(id, tasks) == nil
	d.note("once the route is back, all tasks are at work again: %v", returned)
	if idle > graceTime+calmTime+idleTime {
		return fmt.Errorf("%w: lasting tasks of an accepted submission did not run for %v, while a worker with room for them had its check-ins acknowledged", errBroken, idle)
	}
	return nil
}
