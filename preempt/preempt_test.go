package preempt_test

import (
	"testing"

	"daisyswitch/preempt"
	"daisyswitch/resource"

	"gotest.tools/v3/assert"
)

func cores(n int64) resource.Size { return resource.Size{MilliCPU: 1000 * n, MemoryMiB: n} }

// newPool returns a pool of full workers on each of which every step has one task of the given size.
func newPool(workers int, size resource.Size, steps ...*preempt.Step) *preempt.Pool {
	p := &preempt.Pool{}
	for range workers {
		w := &preempt.Worker{}
		for _, s := range steps {
			w.Tasks = append(w.Tasks, &preempt.Task{Step: s, Size: size})
		}
		p.Workers = append(p.Workers, w)
		p.Lasting += len(steps)
	}
	return p
}

func TestNoMoreTasksStopThanTheDemandNeeds(t *testing.T) {
	p := newPool(40, cores(3), &preempt.Step{Count: 40})
	chosen := preempt.Choose(p, []preempt.Demand{{Size: cores(1), Count: 5}})
	assert.Equal(t, len(chosen), 2)
	assert.Equal(t, p.Away, 2)
}

func TestStopThatMakesNoRoomForTheDemandIsNotChosen(t *testing.T) {
	p := newPool(40, cores(3), &preempt.Step{Count: 40})
	assert.Equal(t, len(preempt.Choose(p, []preempt.Demand{{Size: cores(4), Count: 5}})), 0)
	p.Workers[7].Free = cores(1)
	chosen := preempt.Choose(p, []preempt.Demand{{Size: cores(4), Count: 5}})
	assert.Equal(t, len(chosen), 1, "only one worker has enough room besides")
}

func TestNamedLimitOfAStepIsKept(t *testing.T) {
	p := newPool(40, cores(2), &preempt.Step{Count: 40, MayBeAway: 2, Away: 1})
	assert.Equal(t, len(preempt.Choose(p, []preempt.Demand{{Size: cores(2), Count: 40}})), 1)
}

func TestLastTaskAtWorkIsNeverStopped(t *testing.T) {
	p := newPool(1, cores(2), &preempt.Step{Count: 1, MayBeAway: 5}, &preempt.Step{Count: 3, MayBeAway: 5, Away: 2})
	p.Lasting = 40
	assert.Equal(t, len(preempt.Choose(p, []preempt.Demand{{Size: cores(2), Count: 40}})), 0)
}

func TestMostTasksStayAtWorkHoweverMuchWaits(t *testing.T) {
	p := newPool(40, cores(2), &preempt.Step{Count: 40}, &preempt.Step{Count: 40})
	chosen := preempt.Choose(p, []preempt.Demand{{Size: cores(2), Count: 1000}})
	assert.Equal(t, len(chosen), 20, "a quarter of 80")
}

// TestTasksStopWhereTheDemandMayRun guards against stops that make room on workers without the label that the demand requires.
func TestTasksStopWhereTheDemandMayRun(t *testing.T) {
	p := newPool(40, cores(3), &preempt.Step{Count: 40})
	p.Workers[7].Labels = []string{"b"}
	only := p.Workers[7].Tasks[0]
	chosen := preempt.Choose(p, []preempt.Demand{{Size: cores(2), Count: 5, Requires: "b"}})
	assert.Equal(t, len(chosen), 1)
	assert.Assert(t, chosen[0] == only)
}

// TestTasksMakeRoomTogether checks that tasks of one worker stop that make room for a larger one only together, on the worker where that takes least, and none if too many would have to.
func TestTasksMakeRoomTogether(t *testing.T) {
	p := newPool(40, cores(3), &preempt.Step{Count: 40}, &preempt.Step{Count: 40}, &preempt.Step{Count: 40})
	p.Workers[7].Free = cores(2)
	chosen := preempt.Choose(p, []preempt.Demand{{Size: cores(8), Count: 1, Blocked: true}})
	assert.Equal(t, len(chosen), 2)
	assert.Equal(t, p.Workers[7].Free, resource.Size{})
	chosen = preempt.Choose(p, []preempt.Demand{{Size: cores(10), Count: 1, Blocked: true}})
	assert.Equal(t, len(chosen), 0, "no worker has that much")
	few := newPool(2, cores(3), &preempt.Step{Count: 2}, &preempt.Step{Count: 2}, &preempt.Step{Count: 2})
	chosen = preempt.Choose(few, []preempt.Demand{{Size: cores(6), Count: 1, Blocked: true}})
	assert.Equal(t, len(chosen), 0, "two of six are over a quarter")
}

// BenchmarkChoose chooses among the lasting tasks of 540 workers for 32 waiting steps.
func BenchmarkChoose(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		steps := make([]*preempt.Step, 12)
		for i := range steps {
			steps[i] = &preempt.Step{Count: 540}
		}
		p := newPool(540, cores(4), steps...)
		var demand []preempt.Demand
		for i := range 32 {
			demand = append(demand, preempt.Demand{Size: cores(int64(1 + i%12)), Count: 9})
		}
		b.StartTimer()
		preempt.Choose(p, demand)
	}
}
