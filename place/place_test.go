package place

import (
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

// TestNeverBeyondCapacity draws sequences of everything that a placer is told, with decisions committed late or refused, and checks each decision against the state and the decisions still open.
func TestNeverBeyondCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(Options{Seed: 1 + uint64(rapid.IntRange(0, 9).Draw(t, "seed")), Settle: time.Second}, batchClass, serviceClass)
		s.add(4, size(8, 16, 1), "a", "b")
		var open opened
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
			open.expire(s)
			for _, o := range d.Starts {
				open.starts = append(open.starts, openStart{o, s.now})
			}
			for _, o := range d.Starts {
				checkStart(t, s, &open, o, out)
			}
			for _, e := range d.Events {
				own := s.tasks[e.Task.Job][e.Task.Index]
				if e.Kind == wire.TaskEventKind_TASK_EVENT_KIND_STOPPING {
					assert.Assert(t, s.jobs[own.Job].Class != "service", "a replica is evicted")
				}
				answer := rapid.IntRange(0, 3).Draw(t, "answer")
				if e.Kind == wire.TaskEventKind_TASK_EVENT_KIND_RESIZE {
					open.resizes = append(open.resizes, openResize{e, s.now})
					checkRoom(t, s, &open, own.Worker)
					if answer > 0 {
						continue
					}
					open.resizes = open.resizes[:len(open.resizes)-1]
				}
				if answer > 0 {
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
				open.expire(s)
				if len(open.starts) > 0 {
					s.start(open.starts[0].Start)
					open.starts = open.starts[1:]
				} else if len(open.resizes) > 0 {
					s.apply(open.resizes[0].TaskEvent)
					open.resizes = open.resizes[1:]
				}
			},
			"refuse": func(*rapid.T) {
				open.starts = open.starts[min(1, len(open.starts)):]
			},
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
				open.starts = slices.DeleteFunc(open.starts, func(o openStart) bool { return o.Worker == r.Name })
			},
		})
	})
}

// opened is what was decided and neither committed nor taken back yet.
type opened struct {
	starts  []openStart
	resizes []openResize
}

type openStart struct {
	*wire.Start
	at time.Time
}

type openResize struct {
	*wire.TaskEvent
	at time.Time
}

func (o *opened) expire(s *state) {
	o.starts = slices.DeleteFunc(o.starts, func(each openStart) bool { return s.now.Sub(each.at) >= s.options.DecideTimeout })
	o.resizes = slices.DeleteFunc(o.resizes, func(each openResize) bool {
		own := s.tasks[each.Task.Job][each.Task.Index]
		return s.now.Sub(each.at) >= s.options.DecideTimeout || own.Attempt != each.Task.Attempt || !fleet.Holding(own.State)
	})
}

func checkStart(t *rapid.T, s *state, open *opened, o *wire.Start, out map[string]bool) {
	own, w := s.tasks[o.Job][o.Index], s.workers[o.Worker]
	assert.Assert(t, !w.Gone, "a start on a worker that is gone")
	assert.Assert(t, !out[w.Domain], "a start in a domain that is out")
	assert.Equal(t, o.Attempt, own.Attempt+1)
	same := 0
	for _, each := range open.starts {
		if each.Job == o.Job && each.Index == o.Index {
			same++
		}
	}
	assert.Equal(t, same, 1, "a task is started twice")
	checkRoom(t, s, open, o.Worker)
}

// checkRoom checks what a worker holds, with what is decided and open, against its capacity.
func checkRoom(t *rapid.T, s *state, open *opened, worker string) {
	open.expire(s)
	sum := s.held(worker)
	for _, each := range open.starts {
		if each.Worker == worker {
			sum = sum.Add(resource.FromWire(each.Size))
		}
	}
	for _, each := range open.resizes {
		if own := s.tasks[each.Task.Job][each.Task.Index]; own.Worker == worker {
			sum = sum.Add(sizing.Larger(resource.FromWire(each.Size).Sub(resource.FromWire(own.Committed)), resource.Size{}))
		}
	}
	capacity := resource.FromWire(s.workers[worker].Capacity)
	assert.Assert(t, sum.Fits(capacity), "%s would hold %v of %v", worker, sum, capacity)
}
