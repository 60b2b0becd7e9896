package place

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/sizing"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// init fixes the seed of the property test, and raises its number of checks above rapid's default.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}

// TestNeverBeyondCapacity draws sequences of all inputs of a placer, with decisions committed late or refused.
// It checks each decision against the committed state and the decisions that are still pending.
func TestNeverBeyondCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(Options{Seed: 1 + uint64(rapid.IntRange(0, 9).Draw(t, "seed")), Settle: time.Second}, batchClass, serviceClass)
		s.add(4, size(8, 16, 1), "a", "b")
		var open openDecisions
		out := map[string]bool{}
		tasks := func() (list []*wire.Task) {
			for name := range 4 {
				list = append(list, s.on(fmt.Sprint("w", name))...)
			}
			return list
		}
		decide := func(t *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "seconds")) * time.Second)
			d := s.Decide(s.now)
			open = open.valid(s)
			for _, o := range d.Starts {
				open = append(open, openDecision{start: o, at: s.now})
			}
			for _, o := range d.Starts {
				checkStart(t, s, open, o, out)
			}
			for _, e := range d.Events {
				own := s.tasks[e.Task.Job][e.Task.Index]
				if e.Kind == wire.TaskEventKind_TASK_EVENT_KIND_STOPPING {
					assert.Assert(t, s.jobs[own.Job].Class != "service", "replica evicted")
				}
				answer := rapid.IntRange(0, 3).Draw(t, "answer")
				if e.Kind == wire.TaskEventKind_TASK_EVENT_KIND_RESIZE {
					checkCapacity(t, s, append(open, openDecision{resize: e, at: s.now}), own.Worker)
					if answer > 0 {
						open = append(open, openDecision{resize: e, at: s.now})
					}
				} else if answer > 0 {
					s.apply(e)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				s.submit(&wire.Job{Class: rapid.SampledFrom([]string{"batch", "service"}).Draw(t, "class"), Program: "p", Urgent: rapid.Bool().Draw(t, "urgent"), Tasks: int32(rapid.IntRange(1, 4).Draw(t, "tasks")),
					Size: size(rapid.Int64Range(1, 9).Draw(t, "cores"), rapid.Int64Range(1, 17).Draw(t, "memory"), rapid.Int64Range(0, 2).Draw(t, "accelerators")), MinDomains: int32(rapid.IntRange(0, 2).Draw(t, "domains"))})
			},
			"decide": decide,
			"commit": func(t *rapid.T) {
				open = open.valid(s)
				if len(open) > 0 && open[0].start != nil {
					s.start(open[0].start)
				} else if len(open) > 0 {
					s.apply(open[0].resize)
				}
				open = open[min(1, len(open)):]
			},
			"refuse": func(*rapid.T) { open = open[min(1, len(open)):] },
			"end": func(t *rapid.T) {
				if list := tasks(); len(list) > 0 {
					own := rapid.SampledFrom(list).Draw(t, "task")
					s.set(own, rapid.SampledFrom([]wire.TaskState{wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_CHECKPOINTED, wire.TaskState_TASK_STATE_STOPPING}).Draw(t, "state"))
				}
			},
			"report": func(t *rapid.T) {
				s.report(fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "worker")), func(*wire.Task) (*wire.Size, int64) {
					return size(rapid.Int64Range(0, 9).Draw(t, "cores"), rapid.Int64Range(1, 17).Draw(t, "memory"), 0), rapid.Int64Range(0, 3000).Draw(t, "p99")
				})
			},
			"domain": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
				clear(out)
				out[name] = rapid.Bool().Draw(t, "out")
				s.out(name, out[name])
			},
			"worker": func(t *rapid.T) {
				r := s.workers[fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "worker"))]
				r.Gone = !r.Gone
				s.SetWorker(r)
				open = slices.DeleteFunc(open, func(o openDecision) bool { return o.start.GetWorker() == r.Name })
			},
		})
	})
}

// openDecision is a start or resize that is neither committed nor reverted yet.
type openDecision struct {
	start  *wire.Start
	resize *wire.TaskEvent
	at     time.Time
}

type openDecisions []openDecision

// valid drops decisions that the placer has reverted or the state would refuse.
func (o openDecisions) valid(s *state) (list openDecisions) {
	for _, decision := range o {
		r := decision.resize.GetTask()
		late := s.now.Sub(decision.at) >= s.options.DecideTimeout
		if !late && (r == nil || s.tasks[r.Job][r.Index].Attempt == r.Attempt && fleet.Holding(s.tasks[r.Job][r.Index].State)) {
			list = append(list, decision)
		}
	}
	return list
}

func checkStart(t *rapid.T, s *state, open openDecisions, o *wire.Start, out map[string]bool) {
	own, w := s.tasks[o.Job][o.Index], s.workers[o.Worker]
	assert.Assert(t, !w.Gone, "start on a worker that is gone")
	assert.Assert(t, !out[w.Domain], "start in a domain that is out")
	assert.Equal(t, o.Attempt, own.Attempt+1)
	same := 0
	for _, decision := range open {
		if decision.start.GetJob() == o.Job && decision.start.GetIndex() == o.Index {
			same++
		}
	}
	assert.Equal(t, same, 1, "pending starts of one task")
	checkCapacity(t, s, open, o.Worker)
}

// checkCapacity checks that a worker's committed and pending sizes together fit its capacity.
func checkCapacity(t *rapid.T, s *state, open openDecisions, worker string) {
	sum := s.held(worker)
	for _, decision := range open.valid(s) {
		r := decision.resize.GetTask()
		if decision.start.GetWorker() == worker {
			sum = sum.Add(resource.FromWire(decision.start.Size))
		} else if r != nil && s.tasks[r.Job][r.Index].Worker == worker {
			more := resource.FromWire(decision.resize.Size).Sub(resource.FromWire(s.tasks[r.Job][r.Index].Committed))
			sum = sum.Add(sizing.Larger(more, resource.Size{}))
		}
	}
	capacity := resource.FromWire(s.workers[worker].Capacity)
	assert.Assert(t, sum.Fits(capacity), "%s would hold %v of %v", worker, sum, capacity)
}
