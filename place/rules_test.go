package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"daisyswitch/fleet"
	"daisyswitch/resource"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

const second = time.Second

func startsOf(d Decisions) (list []string) {
	for _, o := range d.Starts {
		list = append(list, o.Job)
	}
	return list
}

// TestOrder checks the order of starts: urgent work, then replicas, then the class farthest from its volume, then the team with the smallest share.
func TestOrder(t *testing.T) {
	late := &wire.Class{Name: "late", Kind: wire.ClassKind_CLASS_KIND_BATCH, TargetVolume: 10, DueMinute: 500}
	met := &wire.Class{Name: "met", Kind: wire.ClassKind_CLASS_KIND_BATCH, TargetVolume: 1, DueMinute: 500}
	s := newState(Options{}, batchClass, serviceClass, late, met).add(1, size(64, 64, 0), "a")
	s.set(s.tasks[s.submit(&wire.Job{Class: "met", Size: size(1, 1, 0)}).Id][0], wire.TaskState_TASK_STATE_DONE)
	s.submit(&wire.Job{Class: "met", Team: "x", Size: size(1, 1, 0), Tasks: 2})
	s.submit(&wire.Job{Class: "met", Team: "y", Size: size(1, 1, 0), Tasks: 2})
	s.submit(&wire.Job{Class: "late", Size: size(1, 1, 0)})
	s.submit(&wire.Job{Class: "service", Size: size(1, 1, 0)})
	s.submit(&wire.Job{Class: "met", Size: size(1, 1, 0), Urgent: true})
	assert.DeepEqual(t, startsOf(s.decide(second)), []string{"j5", "j4", "j3", "j1", "j2", "j1", "j2"})
}

// TestQuota checks that tasks of a team at its quota wait and give this reason, while other teams' tasks start.
func TestQuota(t *testing.T) {
	s := newState(Options{}, batchClass).add(1, size(64, 64, 0), "a")
	s.SetConfiguration(&wire.Configuration{Classes: s.config.Classes, Teams: []*wire.Team{{Name: "x", Quota: size(2, 64, 0)}}})
	s.submit(&wire.Job{Team: "x", Size: size(1, 1, 0), Tasks: 3})
	s.submit(&wire.Job{Team: "y", Size: size(1, 1, 0), Tasks: 3})
	assert.Equal(t, len(s.decide(second).Starts), 5)
	assert.Equal(t, s.Why("j0", 2), "team x has reached its quota")
	s.set(s.tasks["j0"][0], wire.TaskState_TASK_STATE_DONE)
	assert.DeepEqual(t, startsOf(s.decide(second)), []string{"j0"})
}

// TestCannotRun checks that a job too large for every worker ends as CANNOT_RUN once all workers are known, and doesn't block other jobs.
// A job that fits only a domain that is out waits for the domain. One that fits only a worker that is gone waits for an hour.
func TestCannotRun(t *testing.T) {
	s := newState(Options{Effort: 200}, batchClass).add(2, size(8, 8, 0), "a").add(1, size(32, 8, 0), "b")
	s.out("b", true)
	gone := &wire.WorkerRecord{Name: "gone", Domain: "a", Capacity: size(1, 1, 1), Gone: true}
	s.SetWorker(gone)
	s.decide(0)
	s.decide(20 * second)
	s.submit(&wire.Job{Size: size(1, 1, 1)})
	for range 5 {
		s.submit(&wire.Job{Size: size(1, 64, 0)})
	}
	s.submit(&wire.Job{Size: size(16, 1, 0)})
	s.submit(&wire.Job{Size: size(1, 1, 0)})
	d := s.decide(second)
	assert.Equal(t, len(d.Events), 5)
	assert.Equal(t, d.Events[0].Kind, wire.TaskEventKind_TASK_EVENT_KIND_CANNOT_RUN)
	assert.DeepEqual(t, startsOf(d), []string{"j7"})
	assert.Equal(t, s.Why("j6", 0), "fits only workers in domains that are out")
	assert.Equal(t, s.Why("j0", 0), "fits only workers that are gone")
	s.out("b", false)
	assert.DeepEqual(t, startsOf(s.decide(second)), []string{"j6"})
	assert.Equal(t, len(s.decide(time.Hour).Events), 1)
}

// TestBadJob checks that a job is given up after it failed on three workers that run other jobs well.
// No worker may be suspended because of it, and all tasks of the other job must run.
func TestBadJob(t *testing.T) {
	s := newState(Options{}, batchClass).add(4, size(8, 8, 0), "a")
	s.submit(&wire.Job{Size: size(1, 1, 0), Tasks: 100, Team: "good"})
	s.submit(&wire.Job{Size: size(1, 1, 0), Tasks: 20, Team: "bad"})
	gaveUp := 0
	for range 40 {
		d := s.decide(second)
		for _, e := range d.Events {
			assert.Equal(t, e.Kind, wire.TaskEventKind_TASK_EVENT_KIND_GIVE_UP)
			gaveUp++
		}
		for _, o := range d.Starts {
			if own := s.tasks[o.Job][o.Index]; o.Job == "j1" {
				s.fail(own)
			} else {
				s.set(own, wire.TaskState_TASK_STATE_DONE)
			}
		}
	}
	assert.Equal(t, gaveUp, 20)
	assert.Equal(t, len(s.suspended), 0)
	for _, task := range s.tasks["j0"] {
		assert.Equal(t, task.State, wire.TaskState_TASK_STATE_DONE)
	}
}

// TestBadJobsSpareWorkers checks that failures of jobs that have already failed on two workers don't suspend a third.
// Failures of cancelled tasks must not suspend a worker either.
func TestBadJobsSpareWorkers(t *testing.T) {
	s := newState(Options{}, batchClass).add(3, size(8, 8, 0), "a")
	for n := range 9 {
		if n < 3 {
			s.submit(&wire.Job{Size: size(1, 1, 0)})
		}
		job := fmt.Sprint("j", n%3)
		s.fail(s.start(&wire.Start{Job: job, Attempt: uint32(n), Worker: fmt.Sprint("w", (n/3+n%3)%3), Size: size(1, 1, 0)}))
	}
	for range 5 {
		own := s.start(&wire.Start{Job: s.submit(&wire.Job{Size: size(1, 1, 0)}).Id, Attempt: 1, Worker: "w0", Size: size(1, 1, 0)})
		own.Cancelled = true
		s.fail(own)
	}
	assert.Equal(t, len(s.suspended), 0)
}

// TestBadWorker checks that a worker that fails three jobs in a row starts nothing during its probation, and single probes after it.
// Each failed probe doubles the probation, and no job is given up because of the worker.
func TestBadWorker(t *testing.T) {
	s := newState(Options{}, batchClass).add(2, size(8, 8, 0), "a")
	for range 200 {
		s.submit(&wire.Job{Size: size(2, 2, 0)})
	}
	var probes []int
	for at := range 250 {
		held := 0
		for _, o := range s.decide(second).Starts {
			if o.Worker == "w0" {
				held++
			}
		}
		if held > 0 && at > 0 {
			assert.Equal(t, held, 1, "starts on the suspended worker at once")
			probes = append(probes, at)
		}
		for _, task := range s.on("w0") {
			s.fail(task)
		}
		if at%20 == 0 {
			for _, task := range s.on("w1") {
				s.set(task, wire.TaskState_TASK_STATE_DONE)
			}
		}
	}
	assert.DeepEqual(t, probes, []int{30, 90, 210}) // probations of 30 s, 60 s and 120 s
	assert.Equal(t, len(s.failingJobs), 0)
}

// TestSpread checks that replicas are spread evenly over domains and racks.
// With a domain out, the replica that is needed to reach MinDomains waits instead of starting in a domain already used.
func TestSpread(t *testing.T) {
	s := newState(Options{}, serviceClass).add(24, size(8, 8, 0), "a", "b", "c")
	s.submit(&wire.Job{Class: "service", Size: size(1, 1, 0), Tasks: 12})
	s.decide(second)
	domains, racks := map[string]int{}, map[string]int{}
	for _, task := range s.tasks["j0"] {
		w := s.workers[task.Worker]
		domains[w.Domain]++
		racks[w.Domain+w.Rack]++
	}
	assert.DeepEqual(t, domains, map[string]int{"a": 4, "b": 4, "c": 4})
	assert.Equal(t, len(racks), 12)
	s.out("c", true)
	s.submit(&wire.Job{Class: "service", Size: size(1, 1, 0), Tasks: 4, MinDomains: 3})
	assert.Equal(t, len(s.decide(second).Starts), 3)
	assert.Equal(t, s.Why("j1", s.tasks["j1"][3].Index), "room is free, but not in a failure domain that it must still spread to (at least 3)")
}

// TestRelief checks that batch beside a service over its target is throttled and later evicted, one step per measurement lag.
// The service itself is never throttled or evicted, and throttles are removed once its latency is back under the target.
func TestRelief(t *testing.T) {
	s := newState(Options{}, batchClass, serviceClass).add(1, size(16, 16, 0), "a")
	s.submit(&wire.Job{Class: "service", Program: "s", Size: size(4, 4, 0)})
	s.submit(&wire.Job{Program: "b", Size: size(4, 4, 0), Tasks: 2})
	s.decide(second)
	latency, taken := int64(700), map[int32]int{}
	reports := func(n int) (throttles, evictions []int) {
		for at := range n {
			s.report("w0", func(own *wire.Task) (*wire.Size, int64) {
				used := size(4, 4, 0)
				if s.jobs[own.Job].Class == "batch" {
					used.MilliCpu -= used.MilliCpu * int64(taken[own.Index]) / 100
				}
				return used, latency
			})
			d := s.decide(second)
			for _, e := range d.Events {
				if e.Kind == wire.TaskEventKind_TASK_EVENT_KIND_RESIZE {
					continue
				}
				assert.Equal(t, s.jobs[e.Task.Job].Class, "batch")
				evictions = append(evictions, at)
			}
			sum := 0
			for _, each := range d.Throttles {
				taken[each.Index] = int(each.Percent)
			}
			for _, each := range taken {
				sum += each
			}
			throttles = append(throttles, sum)
		}
		return throttles, evictions
	}
	throttles, evictions := reports(20)
	assert.Equal(t, len(evictions)+throttles[19], 0)
	latency = 1100
	throttles, evictions = reports(20)
	assert.Assert(t, throttles[1] > 0 && throttles[1] == throttles[4], throttles)
	assert.Assert(t, len(evictions) > 0 && evictions[0] >= 10, evictions)
	for i := range evictions[1:] {
		assert.Assert(t, evictions[i+1]-evictions[i] >= 5, evictions)
	}
	latency = 700
	throttles, evictions = reports(60)
	assert.Equal(t, len(evictions)+throttles[59], 0)
}

// TestSizing checks that a task starts with its declared size, which shrinks to the measured peak, and that the program's next job starts with a size learned from the first.
// A service that outgrows its worker has batch evicted.
func TestSizing(t *testing.T) {
	s := newState(Options{}, batchClass, serviceClass).add(1, size(16, 64, 0), "a")
	s.submit(&wire.Job{Program: "b", Size: size(8, 8, 0), Tasks: 1})
	s.decide(second)
	assert.Equal(t, s.held("w0"), resource.FromWire(size(8, 8, 0)))
	for range 25 {
		s.report("w0", func(*wire.Task) (*wire.Size, int64) { return size(2, 2, 0), 0 })
		s.decide(second)
	}
	assert.Equal(t, s.held("w0").MilliCPU, int64(2000))
	s.submit(&wire.Job{Program: "b", Size: size(8, 8, 0)})
	s.submit(&wire.Job{Class: "service", Program: "s", Size: size(8, 8, 0)})
	s.decide(second)
	assert.Assert(t, s.held("w0").MilliCPU < 2000+8000+6000, "the next job of the program starts at its declared size")
	for range 3 {
		s.report("w0", func(own *wire.Task) (*wire.Size, int64) {
			return size(map[bool]int64{true: 12, false: 2}[s.jobs[own.Job].Class == "service"], 2, 0), 500
		})
		s.decide(second)
	}
	assert.Equal(t, s.tasks["j0"][0].State, wire.TaskState_TASK_STATE_STOPPING)
}

// TestUrgent checks that urgent work without capacity evicts as few batch tasks as possible.
// The capacity stays reserved meanwhile, and the urgent task starts there once all of it is free.
func TestUrgent(t *testing.T) {
	s := newState(Options{}, batchClass).add(2, size(8, 8, 0), "a")
	s.submit(&wire.Job{Size: size(2, 2, 0), Tasks: 8})
	s.decide(second)
	s.submit(&wire.Job{Size: size(3, 3, 0), Urgent: true})
	s.submit(&wire.Job{Size: size(1, 1, 0), Tasks: 20})
	victims := s.decide(second).Events
	assert.Equal(t, len(victims), 2)
	s.set(s.tasks["j0"][victims[0].Task.Index], wire.TaskState_TASK_STATE_CHECKPOINTED)
	assert.Equal(t, len(s.decide(second).Starts), 0)
	s.set(s.tasks["j0"][victims[1].Task.Index], wire.TaskState_TASK_STATE_CHECKPOINTED)
	assert.Equal(t, s.decide(second).Starts[0].Job, "j1")
	s.set(s.tasks["j1"][0], wire.TaskState_TASK_STATE_DONE)
	assert.Assert(t, slices.Contains(startsOf(s.decide(second)), "j0"), "an evicted task did not start again")
}

// TestRebuild checks that a placer that receives the same records in another order computes the same free capacity.
func TestRebuild(t *testing.T) {
	s := newState(Options{}, batchClass).add(2, size(8, 8, 0), "a")
	s.submit(&wire.Job{Size: size(3, 3, 0), Tasks: 4})
	s.decide(second)
	p := New(Options{})
	for _, task := range s.tasks["j0"] {
		p.SetTask(s.jobs["j0"], task)
	}
	for name, r := range s.workers {
		p.SetWorker(r)
		assert.Equal(t, p.fleet.Workers[name].Free, s.fleet.Workers[name].Free)
	}
}

// TestGrowthIsKept checks that the capacity for a pending growth stays held when another transition of the task arrives first.
// Otherwise another task could start in it before the growth is committed.
func TestGrowthIsKept(t *testing.T) {
	s := newState(Options{}, batchClass).add(1, size(8, 8, 0), "a")
	s.submit(&wire.Job{Size: size(2, 2, 0)})
	s.decide(second)
	s.report("w0", func(*wire.Task) (*wire.Size, int64) { return size(6, 1, 0), 0 })
	assert.Equal(t, s.Decide(s.now).Events[0].Kind, wire.TaskEventKind_TASK_EVENT_KIND_RESIZE)
	s.set(s.tasks["j0"][0], wire.TaskState_TASK_STATE_RUNNING) // such as a checkpoint
	s.submit(&wire.Job{Size: size(4, 1, 0)})
	assert.Equal(t, len(s.decide(second).Starts), 0)
}

// TestTimeout checks that a start whose transition never arrives is decided again after the timeout, and not before.
func TestTimeout(t *testing.T) {
	s := newState(Options{}, batchClass).add(1, size(8, 8, 0), "a")
	s.submit(&wire.Job{Size: size(8, 8, 0)})
	var at []int
	for n := range 12 {
		if len(s.Decide(s.now.Add(time.Duration(n)*second)).Starts) > 0 {
			at = append(at, n)
		}
	}
	assert.DeepEqual(t, at, []int{0, 5, 10})
}

// TestWaveLeavesNothing checks that ten thousand cancelled tasks leave nothing behind in queues, tables or counts.
func TestWaveLeavesNothing(t *testing.T) {
	s := newState(Options{}, batchClass).add(1, size(8, 8, 0), "a")
	wave := s.submit(&wire.Job{Size: size(8, 8, 0), Tasks: 10000})
	s.submit(&wire.Job{Size: size(1, 1, 0)})
	s.decide(second)
	for _, task := range s.tasks[wave.Id] {
		s.set(task, wire.TaskState_TASK_STATE_CANCELLED_NOT_RUN)
	}
	assert.DeepEqual(t, startsOf(s.decide(second)), []string{"j1"})
	assert.Equal(t, len(s.fleet.Jobs), 1)
	assert.Equal(t, s.fleet.Classes["batch"].Waiting, 0)
	assert.Equal(t, fmt.Sprint(s.fleet.Lanes[fleet.LaneKey{Class: "batch"}].Empty()), "true")
}
