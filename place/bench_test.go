package place

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"daisyswitch/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The expected size of one group of workers in two years.
const (
	benchWorkers = 1700
	benchTasks   = 35126 // 35,100 rounded up to whole jobs
	benchJob     = 27    // tasks per job
)

// fullState returns a state with benchWorkers workers, each with one replica, and benchTasks running tasks in all, each reported once.
func fullState(b *testing.B) *state {
	s := newState(Options{}, batchClass, serviceClass)
	for n := range benchWorkers {
		s.add(1, size(64, 250, 0), fmt.Sprint("d", n%3))
	}
	s.submit(&wire.Job{Class: "service", Program: "s", Size: size(8, 16, 0), Tasks: benchWorkers})
	for n := 0; n < benchTasks-benchWorkers; n += benchJob {
		s.submit(&wire.Job{Team: fmt.Sprint("t", n%7), Program: fmt.Sprint("p", n%20), Size: size(2, 8, 0), Tasks: benchJob})
	}
	for range 100 {
		s.decide(time.Second)
		if reportAll(s) == benchTasks {
			return s
		}
	}
	b.Fatalf("%d of %d tasks run after 100 decisions", reportAll(s), benchTasks)
	return nil
}

// reportAll passes a report of every worker to the placer, and returns how many tasks run.
func reportAll(s *state) (running int) {
	held := map[string]*wire.WorkerReport{}
	for name, r := range s.workers {
		held[name] = &wire.WorkerReport{Worker: r}
	}
	for _, list := range s.tasks {
		for _, t := range list {
			if r := held[t.Worker]; r != nil {
				running++
				r.Tasks = append(r.Tasks, &wire.TaskReport{Task: &wire.TaskRef{Job: t.Job, Index: t.Index, Attempt: t.Attempt}, Used: size(1, 4, 0), P99Us: 500})
			}
		}
	}
	for _, r := range held {
		s.Observe(s.now, r)
	}
	return running
}

// BenchmarkDecide starts as many tasks as end, on one core; ns/op is per start.
func BenchmarkDecide(b *testing.B) {
	s := fullState(b)
	perStart := hdrhistogram.New(1, 1e9, 3)
	var total time.Duration
	starts, ended := 0, 0
	for b.Loop() {
		for starts == ended {
			j := s.submit(&wire.Job{Team: fmt.Sprint("t", starts%7), Program: fmt.Sprint("p", starts%20), Size: size(2, 8, 0), Tasks: 256})
			s.now = s.now.Add(time.Second)
			begin := time.Now()
			d := s.Decide(s.now)
			took := time.Since(begin)
			for _, o := range d.Starts {
				s.start(o)
			}
			for _, t := range s.tasks[j.Id] {
				s.set(t, wire.TaskState_TASK_STATE_DONE)
			}
			if len(d.Starts) > 0 {
				_ = perStart.RecordValue(int64(took) / int64(len(d.Starts)))
			}
			total += took
			starts += len(d.Starts)
		}
		ended++
	}
	b.ReportMetric(float64(starts)/total.Seconds(), "starts/s")
	b.ReportMetric(float64(perStart.ValueAtQuantile(99))/1e3, "p99-us/start")
}

// BenchmarkMemory reports the memory of a placer in bytes per task, including its workers and jobs.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		s := fullState(b)
		with := heapBytes()
		s.Placer = nil
		b.ReportMetric(float64(with-heapBytes())/benchTasks, "bytes/task")
		runtime.KeepAlive(s)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCancelWave cancels ten thousand waiting tasks, with ten thousand and with a hundred thousand others waiting, and then decides once.
func BenchmarkCancelWave(b *testing.B) {
	for _, others := range []int32{10000, 100000} {
		b.Run(fmt.Sprint(others), func(b *testing.B) {
			s := fullState(b)
			s.submit(&wire.Job{Size: size(64, 250, 0), Tasks: others})
			for b.Loop() {
				b.StopTimer()
				wave := s.submit(&wire.Job{Size: size(64, 250, 0), Tasks: 10000})
				b.StartTimer()
				for _, t := range s.tasks[wave.Id] {
					s.set(t, wire.TaskState_TASK_STATE_CANCELLED_NOT_RUN)
				}
				s.Decide(s.now)
			}
		})
	}
}
