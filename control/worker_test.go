package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

const startTimeout = 3 * time.Second // longest time from a poll to a start order that it may still obey

func reportOf(name, domain string, sequence uint64, tasks ...*wire.TaskReport) *wire.WorkerReport {
	return &wire.WorkerReport{
		Worker: &wire.WorkerRecord{
			Name:        name,
			Domain:      domain,
			Rack:        "r1",
			Incarnation: "i1",
			Capacity:    &wire.Size{MilliCpu: 16_000, MemoryMib: 60_000},
		},
		Sequence: sequence,
		Tasks:    tasks,
	}
}

// fakeWorker polls every 200 ms, runs each task for a fixed time and stops its tasks when its lease ends.
type fakeWorker struct {
	name, domain string
	client       *client

	mu             sync.Mutex
	incarnation    int
	sequence       uint64
	leaseEnd       time.Time
	frozen         bool
	runTime        time.Duration
	running        map[string]*fakeTask
	starts         []time.Time
	forgottenTasks int
	started        func(w *fakeWorker, order *wire.Order) // called on each start, with mu locked
	stopped        func(w *fakeWorker, ref *wire.TaskRef)
}

type fakeTask struct {
	ref        *wire.TaskRef
	startedAt  time.Time
	checkpoint uint64
	ended      bool
}

func newWorker(g *group, name, domain, host string) *fakeWorker {
	return &fakeWorker{
		name:    name,
		domain:  domain,
		client:  g.client(host),
		runTime: 500 * time.Millisecond,
		running: map[string]*fakeTask{},
		started: func(*fakeWorker, *wire.Order) {},
		stopped: func(*fakeWorker, *wire.TaskRef) {},
	}
}

func (w *fakeWorker) poll(t *testing.T) {
	report, frozen := w.buildReport()
	if frozen {
		return
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	reply, err := w.client.Report(ctx, &wire.ReportBatch{Entry: w.name, Domain: w.domain, Reports: []*wire.WorkerReport{report}})
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || w.frozen || w.sequence != report.Sequence || report.Worker.Incarnation != w.incarnationName() {
		return
	}
	if lease := reply.Replies[0].LeaseMs; lease > 0 {
		w.leaseEnd = sent.Add(time.Duration(lease) * time.Millisecond)
	}
	for _, order := range reply.Replies[0].Orders {
		w.handleOrder(order, time.Since(sent))
	}
}

func (w *fakeWorker) buildReport() (report *wire.WorkerReport, frozen bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frozen {
		return nil, true
	}
	w.enforceLease()
	w.sequence++
	report = reportOf(w.name, w.domain, w.sequence, w.taskReports()...)
	report.Worker.Incarnation = w.incarnationName()
	return report, false
}

func (w *fakeWorker) incarnationName() string {
	return fmt.Sprintf("i%d", w.incarnation)
}

func (w *fakeWorker) taskReports() []*wire.TaskReport {
	var tasks []*wire.TaskReport
	for _, task := range w.running {
		age := time.Since(task.startedAt)
		task.checkpoint = max(task.checkpoint, uint64(age/(300*time.Millisecond)))
		phase := wire.TaskEventKind_TASK_EVENT_KIND_RUNNING
		switch {
		case task.ended:
			phase = wire.TaskEventKind_TASK_EVENT_KIND_STOPPED
		case age > w.runTime:
			phase = wire.TaskEventKind_TASK_EVENT_KIND_DONE
			w.stopped(w, task.ref)
		}
		tasks = append(tasks, &wire.TaskReport{Task: task.ref, Phase: phase, Checkpoint: task.checkpoint, Used: &wire.Size{MilliCpu: 500, MemoryMib: 100}})
	}
	return tasks
}

// enforceLease stops all tasks once the lease has ended.
func (w *fakeWorker) enforceLease() {
	if time.Now().Before(w.leaseEnd) {
		return
	}
	for _, task := range w.running {
		if !task.ended {
			task.ended = true
			w.stopped(w, task.ref)
		}
	}
}

func (w *fakeWorker) pollUntil(t *testing.T, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		w.poll(t)
	}
}

func keyOf(ref *wire.TaskRef) string {
	return fmt.Sprint(ref.Job, "/", ref.Index, "/", ref.Attempt)
}

func (w *fakeWorker) handleOrder(order *wire.Order, age time.Duration) {
	key := keyOf(order.Task)
	switch order.Kind {
	case wire.OrderKind_ORDER_KIND_START:
		if w.running[key] != nil || age > startTimeout || !time.Now().Before(w.leaseEnd) {
			return
		}
		w.running[key] = &fakeTask{ref: order.Task, startedAt: time.Now(), checkpoint: order.Checkpoint}
		w.starts = append(w.starts, time.Now())
		w.started(w, order)
	case wire.OrderKind_ORDER_KIND_FORGET:
		w.forgottenTasks++
		delete(w.running, key)
	case wire.OrderKind_ORDER_KIND_STOP, wire.OrderKind_ORDER_KIND_CHECKPOINT:
		if task := w.running[key]; task != nil && !task.ended {
			task.ended = true
			w.stopped(w, task.ref)
		}
	}
}

// TestNoStartInADomainThatIsOut takes a domain out of service while starts in it are committed but not yet sent, and stops the leader at that moment.
// The next leader must not send these starts until the domain is back.
func TestNoStartInADomainThatIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.close()
		operator := g.client("e0")
		createClassAndTeam(t, operator)
		workers := []*fakeWorker{
			newWorker(g, "w1", "cebu", "e1"),
			newWorker(g, "w2", "bohol", "e2"),
		}
		for _, w := range workers {
			w.poll(t)
		}
		submit(t, operator, 2000)
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, operator.countStarting(t, "w1") > 0, "no start was committed and unreported when the domain was taken out")
		setDomain(t, operator, "cebu", true)
		out := time.Now()
		g.stop(operator.status(t).Leader)

		stop := make(chan struct{})
		var polling sync.WaitGroup
		for _, w := range workers {
			polling.Go(func() { w.pollUntil(t, stop) })
		}
		time.Sleep(20 * time.Second)
		setDomain(t, operator, "cebu", false)
		in := time.Now()
		time.Sleep(15 * time.Second)
		close(stop)
		polling.Wait()

		assert.Equal(t, workers[0].startsBetween(out, in), 0, "number of starts in a domain that was out")
		assert.Assert(t, workers[0].startsBetween(in, time.Now()) > 0, "no start once the domain was back")
		assert.Assert(t, workers[1].forgottenTasks > 100, "the worker in the other domain finished only %d tasks", workers[1].forgottenTasks)
	})
}

func (w *fakeWorker) startsBetween(from, to time.Time) int {
	n := 0
	for _, at := range w.starts {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

func setDomain(t *testing.T, operator *client, name string, out bool) {
	operator.mustChange(t, &wire.Change{Operation: &wire.Change_SetDomain{SetDomain: &wire.Domain{Name: name, Out: out}}})
}

// countStarting counts the tasks of the job that are committed to a worker but not yet reported by it.
func (c *client) countStarting(t *testing.T, worker string) int {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reply, err := c.Read(ctx, &wire.ReadRequest{Kind: wire.ReadKind_READ_KIND_JOB, Job: "j1"})
	assert.NilError(t, err)
	n := 0
	for _, task := range reply.Job.Tasks {
		if task.Worker == worker && task.State == wire.TaskState_TASK_STATE_STARTING {
			n++
		}
	}
	return n
}

// createClassAndTeam creates the class and the team that the job uses.
func createClassAndTeam(t *testing.T, operator *client) {
	class := &wire.Class{Name: "refunds", Kind: wire.ClassKind_CLASS_KIND_BATCH, TargetVolume: 1000, DueMinute: 1380}
	operator.mustChange(t, &wire.Change{Operation: &wire.Change_PutClass{PutClass: class}})
	team := &wire.Team{Name: "ledger", Quota: &wire.Size{MilliCpu: 1_000_000, MemoryMib: 1_000_000}}
	operator.mustChange(t, &wire.Change{Operation: &wire.Change_PutTeam{PutTeam: team}})
}

func submit(t *testing.T, operator *client, tasks int32) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	operator.sequence++
	job := &wire.Job{Id: "j1", Team: "ledger", Class: "refunds", Program: "refund-run", Size: &wire.Size{MilliCpu: 1000, MemoryMib: 500}, Tasks: tasks, ExpectedMs: 500}
	result, err := operator.Propose(ctx, &wire.Command{Submit: &wire.SubmitJob{Operator: operator.name, Sequence: operator.sequence, Job: job}})
	assert.NilError(t, err)
	assert.Equal(t, result.Job.Outcome, wire.Outcome_OUTCOME_ACCEPTED, result.Job.Reason)
}
