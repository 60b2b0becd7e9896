package state_test

import (
	"fmt"
	"runtime"
	"testing"

	"daisyswitch/state"
	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

const (
	benchWorkers = 1700
	benchTasks   = 35100
	startsTarget = 1100 // starts per second at peak load
)

// newBusyMachine returns a state of the size expected in two years, in which every task is committed to a worker.
func newBusyMachine(b *testing.B) *checkedMachine {
	r := &checkedMachine{Machine: state.New(state.Options{})}
	for _, c := range setupCommands()[:3] {
		r.apply(c)
	}
	workers := &wire.Command{}
	for i := range benchWorkers {
		workers.Workers = append(workers.Workers, &wire.WorkerRecord{
			Name: fmt.Sprintf("worker-%04d", i), Domain: "north", Incarnation: "a", Capacity: &wire.Size{MilliCpu: 64000, MemoryMib: 256000},
		})
	}
	r.apply(workers)
	for n := range benchTasks / 100 {
		id := r.submitTasks(b, 100)
		for i := range int32(100) {
			r.apply(&wire.Command{Starts: []*wire.Start{benchStart(id, i, (n*100+int(i))%benchWorkers)}})
		}
	}
	return r
}

func (r *checkedMachine) submitTasks(b *testing.B, tasks int32) string {
	result := r.apply(&wire.Command{Submit: &wire.SubmitJob{Job: &wire.Job{
		Class: "lots", Team: "oak", Program: "valuation", Size: &wire.Size{MilliCpu: 1000, MemoryMib: 1}, Tasks: tasks,
	}}}).Job
	if result.Job == "" {
		b.Fatal(result)
	}
	return result.Job
}

func benchStart(id string, index int32, worker int) *wire.Start {
	return &wire.Start{Job: id, Index: index, Attempt: 1, Worker: fmt.Sprintf("worker-%04d", worker), Size: &wire.Size{MilliCpu: 1000, MemoryMib: 1}}
}

// BenchmarkTask measures a task from its start through running to done, as three commands for 100 tasks each.
func BenchmarkTask(b *testing.B) {
	r := newBusyMachine(b)
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += 100 {
		b.StopTimer()
		id := r.submitTasks(b, 100)
		starts, runs, ends := &wire.Command{}, &wire.Command{}, &wire.Command{}
		for i := range int32(100) {
			starts.Starts = append(starts.Starts, benchStart(id, i, (n+int(i)*7)%benchWorkers))
			ref := &wire.TaskRef{Job: id, Index: i, Attempt: 1}
			runs.Events = append(runs.Events, &wire.TaskEvent{Task: ref, Kind: running})
			ends.Events = append(ends.Events, &wire.TaskEvent{Task: ref, Kind: done})
		}
		b.StartTimer()
		r.apply(starts)
		r.apply(runs)
		r.apply(ends)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)*startsTarget/1e7, "%core/1100starts")
}

// BenchmarkSnapshot measures taking, encoding and restoring a snapshot of the busy state.
func BenchmarkSnapshot(b *testing.B) {
	r := newBusyMachine(b)
	var data []byte
	b.Run("take", func(b *testing.B) {
		for range b.N {
			r.Snapshot()
		}
	})
	b.Run("encode", func(b *testing.B) {
		for range b.N {
			data, _ = proto.Marshal(r.Snapshot())
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("restore", func(b *testing.B) {
		for range b.N {
			s := &wire.State{}
			if err := proto.Unmarshal(data, s); err != nil {
				b.Fatal(err)
			}
			if err := state.New(state.Options{}).Restore(s); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory measures the memory per running task, including its share of the workers.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := newBusyMachine(b)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchTasks, "bytes/task")
		runtime.KeepAlive(r)
	}
}

// BenchmarkCancelWave measures the cancellation of a job of 10,000 queued tasks in the busy state.
func BenchmarkCancelWave(b *testing.B) {
	r := newBusyMachine(b)
	for range b.N {
		b.StopTimer()
		id := r.submitTasks(b, 10000)
		b.StartTimer()
		r.apply(&wire.Command{Cancel: &wire.CancelJob{Job: id}})
	}
}
