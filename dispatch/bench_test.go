package dispatch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"daisyswitch/headroom"
	"daisyswitch/lookahead"
	"daisyswitch/wire"
	"daisyswitch/workflow"

	"github.com/VictoriaMetrics/metrics"
)

var errNotCommitted = errors.New("not committed in a benchmark")

// newCrowdedSession returns a session whose workers are full of lasting and filling tasks, with waiting filling and short workflows, of a number of workspaces in turn.
func newCrowdedSession(b testing.TB, workers, waiting, workspaces int) *session {
	table := workflow.New(workflow.Options{})
	set := &wire.QueueSet{Version: 1, Keyed: workspaces > 0}
	for i := range workspaces {
		set.Workspaces = append(set.Workspaces, &wire.Workspace{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprint("t", i)}, Weight: float64(1 + i), Quota: &wire.Size{MilliCpu: 1 << 40}})
	}
	set.Queues = []*wire.Queue{{Name: "lasting", PathPrefix: "/lasting/", Pool: "p"}, {Name: "filling", PathPrefix: "/filling/", Pool: "p", Priority: 2, Stretch: 2, LatencyMs: 1000}, {Name: "short", PathPrefix: "/short/", Pool: "p", Stretch: 1.5}}
	table.Apply(1, &wire.WorkflowCommand{Queues: set})
	s := &session{
		Options: Options{
			Table: table, Leads: func() bool { return true }, Wall: time.Now,
			SinceBoot: func() time.Duration { return time.Hour },
			Commit:    func(context.Context, *wire.WorkflowCommand) (*workflow.Result, error) { return nil, errNotCommitted },
		},
		counters: newCounters(metrics.NewSet()), ctx: b.Context(),
		links: map[string]*link{}, runs: map[runKey]*run{}, excluded: map[workflow.Name]map[string]exclusion{}, lastAtWork: map[*workflow.Task]time.Duration{}, taskDuration: map[workflow.Place]*taskDuration{},
		headrooms: headroom.New(), initialPaces: map[runKey]int{}, allImageNumbers: map[string]int{}, candidates: map[string]*candidate{}, shortages: map[shortageKey]*shortage{},
	}
	command := &wire.WorkflowCommand{}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		w := &wire.CalledWorker{Id: id, Born: 1, Address: id, Pool: "p", Capacity: &wire.Size{MilliCpu: 18000, MemoryMib: 64000}}
		command.Workers = append(command.Workers, w)
		l := newLink(s, w, predecessor{})
		l.heardAt, l.leaseMS = time.Hour, 1
		s.links[id] = l
	}
	table.Apply(1, command)
	submitted := 0
	submit := func(id, queue string, step *wire.Step) {
		submitted++
		table.Apply(time.Now().UnixMilli(), &wire.WorkflowCommand{Submit: &wire.Workflow{Id: id, Queue: queue, Steps: []*wire.Step{step}}, Key: fmt.Sprint("t", submitted%max(1, workspaces))})
	}
	lasting := &wire.Step{Count: 5, Size: &wire.Size{MilliCpu: 3500, MemoryMib: 1000}, Lasting: true, TargetMs: 18}
	filling := &wire.Step{Count: 4, Size: &wire.Size{MilliCpu: 1800, MemoryMib: 1000}, Filling: true}
	for i := range workers {
		lasting, filling := lasting, filling
		lasting.Image, filling.Image = fmt.Sprint("l", i%5), fmt.Sprint("f", i%9)
		submit(fmt.Sprint("l", i), "lasting", lasting)
		submit(fmt.Sprint("f", i), "filling", filling)
		placeAndList(s, table, fmt.Sprint("l", i), i, 5)
		placeAndList(s, table, fmt.Sprint("f", i), i, 4)
	}
	for i := range waiting {
		submit(fmt.Sprint("wf", i), "filling", &wire.Step{Count: 10, Size: &wire.Size{MilliCpu: 1800, MemoryMib: 1000}, Filling: true, Image: fmt.Sprint("f", i%9)})
		submit(fmt.Sprint("ws", i), "short", &wire.Step{Count: 10, Size: &wire.Size{MilliCpu: 2700, MemoryMib: 1000}})
	}
	return s
}

// placeAndList commits the tasks of a workflow to a worker and marks them as listed.
func placeAndList(s *session, table *workflow.Table, id string, worker, count int) {
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
			l.serving[r.runKey] = &servingTask{image: task.Step.Spec.GetImage(), imageNumber: r.image, baseline: headroom.Baseline{Now: 2, RecentMin: 2}}
		}
	}
}

// BenchmarkLookahead measures rounds, one each 5 ms, in which large tasks and small ones wait at workers that are full of ending tasks: without lookahead, with it, and with a search for a reservation in every round.
func BenchmarkLookahead(b *testing.B) {
	for _, workers := range []int{350, 1700} {
		for _, kind := range []string{"off", "on", "search"} {
			b.Run(fmt.Sprintf("workers=%d/%s", workers, kind), func(b *testing.B) {
				s := newDrainingSession(b, workers, 40)
				s.ahead = newAhead(kind != "off")
				if s.ahead != nil {
					learn(s, "short", time.Second)
				}
				rounds := 0
				s.SinceBoot = func() time.Duration { return time.Hour + time.Duration(rounds)*5*time.Millisecond }
				changed := 0
				for b.Loop() {
					for range workers / 16 { // as runs of a second on average start and end there in 5 ms
						changed = (changed + 7) % workers
						s.links[fmt.Sprint("w", changed)].offerChanged = true
					}
					s.placeWaiting()
					rounds = (rounds + 1) % 100
					if s.ahead != nil && (rounds == 0 || kind == "search") {
						clear(s.ahead.books)
					}
				}
			})
		}
	}
}

// learn records run times around a mean for a queue.
func learn(s *session, queue string, mean time.Duration) {
	for i := range 100 {
		s.ahead.durations.Record(lookahead.Key{Queue: "/" + queue + "/"}, mean*time.Duration(50+i)/100)
	}
}

// newDrainingSession returns a session whose workers have a tenth of their processors free beside nine ending tasks each, with waiting large and small workflows of twelve tasks.
func newDrainingSession(b testing.TB, workers, waiting int) *session {
	s := newCrowdedSession(b, 0, 0, 0)
	command := &wire.WorkflowCommand{}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		w := &wire.CalledWorker{Id: id, Born: 1, Address: id, Pool: "p", Capacity: &wire.Size{MilliCpu: 10000, MemoryMib: 64000}}
		command.Workers = append(command.Workers, w)
		l := newLink(s, w, predecessor{})
		l.heardAt, l.leaseMS = time.Hour, 1
		s.links[id] = l
	}
	s.Table.Apply(1, command)
	submit := func(id, image string, count int32, milliCPU int64) {
		s.Table.Apply(time.Now().UnixMilli(), &wire.WorkflowCommand{Submit: &wire.Workflow{Id: id, Queue: "short", Steps: []*wire.Step{{Count: count, Image: image, Size: &wire.Size{MilliCpu: milliCPU, MemoryMib: 1000}}}}})
	}
	for i := range workers {
		submit(fmt.Sprint("s", i), "", 9, 1000)
		placeAndList(s, s.Table, fmt.Sprint("s", i), i, 9)
	}
	for i, r := range slices.Collect(maps.Values(s.runs)) {
		r.firstListedAt = time.Hour - time.Duration(i%10)*100*time.Millisecond
	}
	for i := range waiting {
		submit(fmt.Sprint("wl", i), fmt.Sprint("l", i%9), 12, 3000)
		submit(fmt.Sprint("ws", i), fmt.Sprint("s", i%9), 12, 1100)
	}
	return s
}

// BenchmarkRound measures one placement round at the size of the largest installations, where nothing has room and every step is examined.
func BenchmarkRound(b *testing.B) {
	s := newCrowdedSession(b, 490, 200, 0)
	for b.Loop() {
		s.placeWaiting()
	}
}

// BenchmarkRoundOfWorkspaces measures the order among workspaces, beside the same round without them.
func BenchmarkRoundOfWorkspaces(b *testing.B) {
	for _, workspaces := range []int{0, 20} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			s := newCrowdedSession(b, 350, 500, workspaces)
			for b.Loop() {
				s.placeWaiting()
			}
		})
	}
}
