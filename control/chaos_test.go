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

// chaos is a control group with six workers, and a record of where their tasks run.
type chaos struct {
	*group
	t       *testing.T
	rng     *rand.Rand
	workers []*fakeWorker

	controlDown chan struct{} // semaphore: held while a control process is stopped. A mutex would stall synctest's virtual time

	mu          sync.Mutex
	runningOn   map[string]*fakeWorker // worker that runs each task, by job and index
	checkpoints map[string]uint64      // checkpoint of each task's last start order
	starts      int
	violations  []string
}

func newChaos(t *testing.T, seed uint64) *chaos {
	c := &chaos{t: t, group: newGroup(t), rng: rand.New(rand.NewPCG(seed, 0)), controlDown: make(chan struct{}, 1), runningOn: map[string]*fakeWorker{}, checkpoints: map[string]uint64{}}
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
	c.recordRunning(w, order.Task)
	c.mu.Lock()
	defer c.mu.Unlock()
	task := taskOf(order.Task)
	if order.Checkpoint < c.checkpoints[task] {
		c.violations = append(c.violations, fmt.Sprintf("%s resumes from checkpoint %d after one from %d", keyOf(order.Task), order.Checkpoint, c.checkpoints[task]))
	}
	c.checkpoints[task] = order.Checkpoint
	c.starts++
}

// recordRunning records that a task runs on a worker, and a violation if it still runs on another.
func (c *chaos) recordRunning(w *fakeWorker, ref *wire.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous := c.runningOn[taskOf(ref)]; previous != nil {
		c.violations = append(c.violations, fmt.Sprintf("%s started on %s while it still runs on %s", keyOf(ref), w.name, previous.name))
	}
	c.runningOn[taskOf(ref)] = w
}

func (c *chaos) stopped(w *fakeWorker, ref *wire.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningOn[taskOf(ref)] == w {
		delete(c.runningOn, taskOf(ref))
	}
}

// partitionWorker cuts a worker's host off from control for a while.
func (c *chaos) partitionWorker(w int, pause time.Duration) {
	host := fmt.Sprintf("h%d", w)
	c.isolate(host)
	time.Sleep(pause)
	c.reconnect(host)
}

// freeze suspends a worker and its tasks for a while. When it resumes, it checks its lease first.
func (c *chaos) freeze(w *fakeWorker, pause time.Duration) {
	w.mu.Lock()
	if w.frozen {
		w.mu.Unlock()
		return
	}
	c.setTasksRunning(w, false)
	w.frozen = true
	w.mu.Unlock()
	time.Sleep(pause)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen = false
	c.setTasksRunning(w, true)
	w.enforceLease()
}

func (c *chaos) setTasksRunning(w *fakeWorker, live bool) {
	for _, task := range w.running {
		if task.ended {
			continue
		}
		if !live {
			c.stopped(w, task.ref)
		} else if time.Now().Before(w.leaseEnd) {
			c.recordRunning(w, task.ref)
		}
	}
}

// restartWorker ends everything that runs on a worker and gives it a new incarnation.
func (c *chaos) restartWorker(w *fakeWorker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.setTasksRunning(w, false)
	w.incarnation++
	w.sequence = 0
	w.leaseEnd = time.Time{}
	w.running = map[string]*fakeTask{}
}

// restartControl stops a control process for a while. Only one is stopped at any time.
func (c *chaos) restartControl(id uint64, pause time.Duration) {
	c.controlDown <- struct{}{}
	defer func() { <-c.controlDown }()
	c.stop(id)
	time.Sleep(pause)
	c.start(id)
}

// injectFault starts one random fault. Faults may overlap.
func (c *chaos) injectFault(run func(func())) {
	host := c.rng.IntN(len(c.workers))
	w := c.workers[host]
	id := uint64(1 + c.rng.IntN(3))
	pause := time.Duration(500+c.rng.IntN(9000)) * time.Millisecond
	switch c.rng.IntN(6) {
	case 0, 1:
		run(func() { c.partitionWorker(host, pause) })
	case 2:
		run(func() { c.freeze(w, pause) })
	case 3:
		run(func() { c.restartWorker(w) })
	default:
		run(func() { c.restartControl(id, pause/4) })
	}
}

// TestNoTaskRunsTwiceUnderFaults runs a job while workers are partitioned, frozen and restarted and control replicas are stopped.
// No task may run on two workers at once or resume from an older checkpoint, and all tasks must finish.
func TestNoTaskRunsTwiceUnderFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newChaos(t, seed)
				defer c.close()
				operator := c.client("e0")
				createClassAndTeam(t, operator)
				stop := make(chan struct{})
				var polling sync.WaitGroup
				for _, w := range c.workers {
					polling.Go(func() { w.pollUntil(t, stop) })
				}
				time.Sleep(time.Second)
				submit(t, operator, 600)
				var faults sync.WaitGroup
				for range 40 {
					time.Sleep(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
					c.injectFault(faults.Go)
				}
				faults.Wait()
				unfinished := waitDone(t, operator)
				close(stop)
				polling.Wait()
				assert.Equal(t, unfinished, 0, "number of tasks that did not finish")
				t.Logf("%d starts for 600 tasks", c.starts)
				for _, violation := range c.violations {
					t.Error(violation)
				}
			})
		})
	}
}

// waitDone waits until the job has ended and returns how many of its tasks are unfinished.
func waitDone(t *testing.T, operator *client) int {
	unfinished := 0
	for range 600 {
		status := operator.status(t)
		tally := status.Classes[0].Tally
		unfinished = 600 - int(tally.GetDone())
		if unfinished == 0 {
			return 0
		}
		time.Sleep(time.Second)
	}
	return unfinished
}
