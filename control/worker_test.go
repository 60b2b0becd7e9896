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

const startWithin = 3 * time.Second // of the poll that a start answers

func report(name, domain string, sequence uint64, tasks ...*wire.TaskReport) *wire.WorkerReport {
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

// fakeWorker polls each 200 ms and runs every task for half a second.
type fakeWorker struct {
	name, domain string
	client       *client
	sequence     uint64
	running      map[string]*fakeTask
	starts       []time.Time
	done         int
}

type fakeTask struct {
	ref   *wire.TaskRef
	began time.Time
}

func (w *fakeWorker) poll(t *testing.T) {
	w.sequence++
	var tasks []*wire.TaskReport
	for _, task := range w.running {
		phase := wire.TaskEventKind_TASK_EVENT_KIND_RUNNING
		if time.Since(task.began) > 500*time.Millisecond {
			phase = wire.TaskEventKind_TASK_EVENT_KIND_DONE
		}
		tasks = append(tasks, &wire.TaskReport{Task: task.ref, Phase: phase, Used: &wire.Size{MilliCpu: 500, MemoryMib: 100}})
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	reply, err := w.client.Report(ctx, &wire.ReportBatch{Entry: "e", Domain: w.domain, Reports: []*wire.WorkerReport{report(w.name, w.domain, w.sequence, tasks...)}})
	if err != nil || time.Since(sent) > startWithin {
		return
	}
	for _, order := range reply.Replies[0].Orders {
		w.obey(order)
	}
}

func (w *fakeWorker) pollUntil(t *testing.T, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
			w.poll(t)
		}
	}
}

func (w *fakeWorker) obey(order *wire.Order) {
	key := fmt.Sprint(order.Task.Job, "/", order.Task.Index, "/", order.Task.Attempt)
	switch order.Kind {
	case wire.OrderKind_ORDER_KIND_START:
		if w.running[key] == nil {
			w.running[key] = &fakeTask{ref: order.Task, began: time.Now()}
			w.starts = append(w.starts, time.Now())
		}
	case wire.OrderKind_ORDER_KIND_FORGET:
		w.done++
		delete(w.running, key)
	case wire.OrderKind_ORDER_KIND_STOP, wire.OrderKind_ORDER_KIND_CHECKPOINT:
		delete(w.running, key)
	}
}

// TestNoStartInADomainThatIsOut takes a domain out while starts in it are committed but not yet sent, and stops the leader at that moment.
func TestNoStartInADomainThatIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.close()
		operator := g.client("e0")
		operator.mustChange(t, &wire.Change{Operation: &wire.Change_PutClass{PutClass: &wire.Class{Name: "refunds", Kind: wire.ClassKind_CLASS_KIND_BATCH, TargetVolume: 1000, DueMinute: 1380}}})
		operator.mustChange(t, &wire.Change{Operation: &wire.Change_PutTeam{PutTeam: &wire.Team{Name: "ledger", Quota: &wire.Size{MilliCpu: 1_000_000, MemoryMib: 1_000_000}}}})
		workers := []*fakeWorker{
			{name: "w1", domain: "cebu", client: g.client("e1"), running: map[string]*fakeTask{}},
			{name: "w2", domain: "bohol", client: g.client("e2"), running: map[string]*fakeTask{}},
		}
		for _, w := range workers {
			w.poll(t)
		}
		submit(t, operator, 2000)
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, operator.starting(t, "w1") > 0, "no start was in flight")
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

		assert.Equal(t, workers[0].startsBetween(out, in), 0, "starts in a domain that was out")
		assert.Assert(t, workers[0].startsBetween(in, time.Now()) > 0, "no start once the domain was back")
		assert.Assert(t, workers[1].done > 100, "the other domain did %d tasks", workers[1].done)
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

// starting counts the tasks of the job that are committed to a worker and not yet reported by it.
func (c *client) starting(t *testing.T, worker string) int {
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

func submit(t *testing.T, operator *client, tasks int32) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	operator.sequence++
	job := &wire.Job{Id: "j1", Team: "ledger", Class: "refunds", Program: "refund-run", Size: &wire.Size{MilliCpu: 1000, MemoryMib: 500}, Tasks: tasks, ExpectedMs: 500}
	result, err := operator.Propose(ctx, &wire.Command{Submit: &wire.SubmitJob{Operator: operator.name, Sequence: operator.sequence, Job: job}})
	assert.NilError(t, err)
	assert.Equal(t, result.Job.Outcome, wire.Outcome_OUTCOME_ACCEPTED, result.Job.Reason)
}
