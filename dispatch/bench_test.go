package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"daisyswitch/headroom"
	"daisyswitch/wire"
	"daisyswitch/workflow"

	"github.com/VictoriaMetrics/metrics"
)

var errNotNow = errors.New("not committed in a benchmark")

// crowded returns a session over workers that are full of lasting tasks, with filling and short workflows that wait.
func crowded(b testing.TB, workers, waiting int) *session {
	table := workflow.New(workflow.Options{})
	table.Apply(1, &wire.WorkflowCommand{Queues: &wire.QueueSet{Version: 1, Queues: []*wire.Queue{{Name: "lasting", Pool: "p"}, {Name: "filling", Pool: "p", Priority: 2, Stretch: 2, LatencyMs: 1000}, {Name: "short", Pool: "p", Stretch: 1.5}}}})
	s := &session{
		Options: Options{
			Table: table, Leads: func() bool { return true }, Wall: time.Now,
			Boot:   func() time.Duration { return time.Hour },
			Commit: func(context.Context, *wire.WorkflowCommand) (*workflow.Result, error) { return nil, errNotNow },
		},
		counters: newCounters(metrics.NewSet()), ctx: b.Context(),
		links: map[string]*link{}, runs: map[runKey]*run{}, failedOn: map[workflow.Name]map[string]struct{}{}, pace: map[string]*pace{},
		tails: headroom.New(), firstPace: map[runKey]int{}, images: map[string]int{}, candidates: map[string]*candidate{}, shortages: map[ask]*shortage{},
	}
	command := &wire.WorkflowCommand{}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		w := &wire.CalledWorker{Id: id, Born: 1, Address: id, Pool: "p", Capacity: &wire.Size{MilliCpu: 18000, MemoryMib: 64000}}
		command.Workers = append(command.Workers, w)
		l := newLink(s, w)
		l.heardAt, l.leaseMS = time.Hour, 1
		s.links[id] = l
	}
	table.Apply(1, command)
	submit := func(id, queue string, step *wire.Step) {
		table.Apply(time.Now().UnixMilli(), &wire.WorkflowCommand{Submit: &wire.Workflow{Id: id, Queue: queue, Steps: []*wire.Step{step}}})
	}
	lasting := &wire.Step{Count: 5, Size: &wire.Size{MilliCpu: 3500, MemoryMib: 1000}, Lasting: true, TargetMs: 18}
	filling := &wire.Step{Count: 4, Size: &wire.Size{MilliCpu: 1800, MemoryMib: 1000}, Filling: true}
	for i := range workers {
		lasting, filling := lasting, filling
		lasting.Image, filling.Image = fmt.Sprint("l", i%5), fmt.Sprint("f", i%9)
		submit(fmt.Sprint("l", i), "lasting", lasting)
		submit(fmt.Sprint("f", i), "filling", filling)
		fill(s, table, fmt.Sprint("l", i), i, 5)
		fill(s, table, fmt.Sprint("f", i), i, 4)
	}
	for i := range waiting {
		submit(fmt.Sprint("wf", i), "filling", &wire.Step{Count: 10, Size: &wire.Size{MilliCpu: 1800, MemoryMib: 1000}, Filling: true, Image: fmt.Sprint("f", i%9)})
		submit(fmt.Sprint("ws", i), "short", &wire.Step{Count: 10, Size: &wire.Size{MilliCpu: 2700, MemoryMib: 1000}})
	}
	return s
}

// fill commits the tasks of a workflow to a worker and has them listed.
func fill(s *session, table *workflow.Table, id string, worker, count int) {
	l := s.links[fmt.Sprint("w", worker)]
	for i := range count {
		name := workflow.Name{Workflow: id, Index: int32(i)}
		table.Apply(1, &wire.WorkflowCommand{Starts: []*wire.RunStart{{Task: name.Wire(), Run: 1, Worker: l.id, Born: 1}}})
		var task *workflow.Task
		table.View(func(t *workflow.Tables) { task = t.Task(name) })
		if task.Worker == nil {
			panic("the fixture does not fit")
		}
		r := &run{runKey: runKey{name, 1}, task: task, link: l, worker: l.worker, phase: started, listed: true, pace: 100, image: s.imageNumber(task.Step.Spec.GetImage())}
		s.runs[r.runKey], l.runs[r.runKey] = r, r
		if task.Step.Spec.GetLasting() {
			l.victims[r.runKey] = &victim{image: task.Step.Spec.GetImage(), imageNumber: r.image, base: headroom.Base{Now: 2, Low: 2}}
		}
	}
}

// BenchmarkRound is one round of placing at the size of the grown installations: nothing has room, so that all is looked at.
func BenchmarkRound(b *testing.B) {
	s := crowded(b, 490, 200)
	for b.Loop() {
		s.place()
	}
}
