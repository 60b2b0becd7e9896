package control_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

// chaos is six workers under a control group, and what is seen of their tasks.
type chaos struct {
	*group
	t       *testing.T
	rng     *rand.Rand
	workers []*fakeWorker

	away chan struct{} // holds one while a control process is away; a mutex would stop virtual time

	mu          sync.Mutex
	live        map[string]*fakeWorker // by job and index
	checkpoints map[string]uint64      // that the last start was to resume from
	starts      int
	faults      []string
}

func newChaos(t *testing.T, seed uint64) *chaos {
	c := &chaos{t: t, group: newGroup(t), rng: rand.New(rand.NewPCG(seed, 0)), away: make(chan struct{}, 1), live: map[string]*fakeWorker{}, checkpoints: map[string]uint64{}}
	for i := range 6 {
		w := newWorker(c.group, fmt.Sprintf("w%d", i), domains[i%3], fmt.Sprintf("h%d", i))
		w.runTime = 4 * time.Second
		w.started, w.stopped = c.started, c.stopped
		c.workers = append(c.workers, w)
	}
	return c
}

func taskOf(ref *wire.TaskRef) string {
	return fmt.Sprint(ref.Job, "/", ref.Index)
}

func (c *chaos) started(w *fakeWorker, order *wire.Order) {
	c.runs(w, order.Task)
	c.mu.Lock()
	defer c.mu.Unlock()
	task := taskOf(order.Task)
	if order.Checkpoint < c.checkpoints[task] {
		c.faults = append(c.faults, fmt.Sprintf("%s resumes from %d after %d", keyOf(order.Task), order.Checkpoint, c.checkpoints[task]))
	}
	c.checkpoints[task] = order.Checkpoint
	c.starts++
}

// runs notes that a task runs on a worker from now on.
func (c *chaos) runs(w *fakeWorker, ref *wire.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.live[taskOf(ref)]; other != nil {
		c.faults = append(c.faults, fmt.Sprintf("%s runs on %s while it runs on %s", keyOf(ref), w.name, other.name))
	}
	c.live[taskOf(ref)] = w
}

func (c *chaos) stopped(w *fakeWorker, ref *wire.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.live[taskOf(ref)] == w {
		delete(c.live, taskOf(ref))
	}
}

// cut separates a worker's host from control for a while.
func (c *chaos) cut(w int, pause time.Duration) {
	host := fmt.Sprintf("h%d", w)
	c.isolate(host)
	time.Sleep(pause)
	c.rejoin(host)
}

// freeze stops a worker from running, and with it its tasks; the first thing that it does when it thaws is to look at its lease.
func (c *chaos) freeze(w *fakeWorker, pause time.Duration) {
	w.mu.Lock()
	if w.frozen {
		w.mu.Unlock()
		return
	}
	c.setLive(w, false)
	w.frozen = true
	w.mu.Unlock()
	time.Sleep(pause)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen = false
	c.setLive(w, true)
	w.keepLease()
}

func (c *chaos) setLive(w *fakeWorker, live bool) {
	for _, task := range w.running {
		if task.ended {
			continue
		}
		if !live {
			c.stopped(w, task.ref)
		} else if time.Now().Before(w.leaseEnd) {
			c.runs(w, task.ref)
		}
	}
}

// restart ends all that runs on a worker and lets it come back as another incarnation.
func (c *chaos) restart(w *fakeWorker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.setLive(w, false)
	w.incarnation++
	w.sequence = 0
	w.leaseEnd = time.Time{}
	w.running = map[string]*fakeTask{}
}

// restartControl has one control process after the other away for a while.
func (c *chaos) restartControl(id uint64, pause time.Duration) {
	c.away <- struct{}{}
	defer func() { <-c.away }()
	c.stop(id)
	time.Sleep(pause)
	c.start(id)
}

// act begins one fault; faults overlap.
func (c *chaos) act(run func(func())) {
	host := c.rng.IntN(len(c.workers))
	w := c.workers[host]
	id := uint64(1 + c.rng.IntN(3))
	pause := time.Duration(500+c.rng.IntN(9000)) * time.Millisecond
	switch c.rng.IntN(6) {
	case 0, 1:
		run(func() { c.cut(host, pause) })
	case 2:
		run(func() { c.freeze(w, pause) })
	case 3:
		run(func() { c.restart(w) })
	default:
		run(func() { c.restartControl(id, pause/4) })
	}
}

// TestNoTaskRunsTwiceUnderFaults runs a job while workers are cut off, frozen and restarted and control loses replicas.
func TestNoTaskRunsTwiceUnderFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newChaos(t, seed)
				defer c.close()
				operator := c.client("e0")
				prepare(t, operator)
				stop := make(chan struct{})
				var polling sync.WaitGroup
				for _, w := range c.workers {
					polling.Go(func() { w.pollUntil(t, stop) })
				}
				time.Sleep(time.Second)
				submit(t, operator, 600)
				var acting sync.WaitGroup
				for range 40 {
					time.Sleep(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
					c.act(acting.Go)
				}
				acting.Wait()
				unfinished := waitDone(t, operator)
				close(stop)
				polling.Wait()
				assert.Equal(t, unfinished, 0, "tasks of the job are not done")
				t.Logf("%d starts of 600 tasks", c.starts)
				for _, fault := range c.faults {
					t.Error(fault)
				}
			})
		})
	}
}

// waitDone waits until the job has ended and returns how many of its tasks have not.
func waitDone(t *testing.T, operator *client) int {
	left := 0
	for range 600 {
		status := operator.status(t)
		tally := status.Classes[0].Tally
		left = 600 - int(tally.GetDone())
		if left == 0 {
			return 0
		}
		time.Sleep(time.Second)
	}
	return left
}
