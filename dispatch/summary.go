package dispatch

import (
	"time"

	"daisyswitch/event"
	"daisyswitch/workflow"
)

// summaryInterval is how often the leader logs the load of its workers.
const summaryInterval = 2 * time.Second

// pieceSizes holds the sizes, in thousandths of a core, for which a summary counts the workers with that much free; few tasks are larger than the last.
var pieceSizes = [...]int64{1000, 2000, 4000, 8000}

// loopStats counts the loop's work since the last summary. Only the loop's goroutine uses it.
type loopStats struct {
	rounds    int
	inRounds  time.Duration
	inCommits time.Duration
	starts    int
}

// tasksByQueue counts tasks by queue.
type tasksByQueue map[workflow.Place]int

// byPlace returns the counts as written in logs.
func (c tasksByQueue) byPlace() map[string]int {
	counts := make(map[string]int, len(c))
	for place, count := range c {
		counts[place.String()] += count
	}
	return counts
}

// summary is the load of all workers and queues at one time.
type summary struct {
	capacity, used, fill, free        int64 // thousandths of a core; free counts usable workers only
	workers, usable, running, serving int
	pieces                            [len(pieceSizes)]int // workers with at least those sizes free
	waiting, inTime                   tasksByQueue
}

// summarize logs the load of the workers, the waiting tasks and the loop's work.
func (s *session) summarize() {
	now := s.SinceBoot()
	if now < s.nextSummary {
		return
	}
	s.nextSummary = now + summaryInterval
	sum := &summary{waiting: tasksByQueue{}, inTime: tasksByQueue{}}
	var usages map[string]usage
	s.Table.View(func(t *workflow.Tables) {
		usages = s.usages(t)
		for id, w := range t.Workers {
			l := s.linkOf(id)
			sum.addWorker(w, l != nil && l.usable(now))
		}
		for step := range t.Waiting {
			queue := step.Job.Place()
			sum.waiting[queue] += step.Waiting
			if s.predictLateness(step, s.Wall().UnixMilli()) == inTime {
				sum.inTime[queue] += step.Waiting
			}
		}
	})
	s.showUsages(usages)
	slowed, fillingUse := s.fillingUse()
	done := s.done
	s.done = loopStats{}
	event.LoadSummary.Info("workers", sum.workers, "usable", sum.usable, "cores", sum.capacity/1000, "used_cores", sum.used/1000, "filling_cores", sum.fill/1000, "filling_used_cores", int64(fillingUse),
		"free_cores", sum.free/1000, "pieces", sum.pieces, "slowed", slowed, "running", sum.running, "serving", sum.serving, "waiting", sum.waiting.byPlace(), "in_time", sum.inTime.byPlace(),
		"rounds", done.rounds, "rounds_ms", done.inRounds.Milliseconds(), "commits_ms", done.inCommits.Milliseconds(), "starts", done.starts)
}

func (sum *summary) addWorker(w *workflow.Worker, usable bool) {
	sum.workers++
	sum.capacity += w.Capacity.MilliCPU
	sum.used += w.Used.MilliCPU
	sum.fill += w.UsedByFilling.MilliCPU
	sum.running += len(w.Tasks)
	for task := range w.Tasks {
		if isServing(task.Step.Spec) {
			sum.serving++
		}
	}
	if !usable {
		return
	}
	sum.usable++
	free := w.Free().MilliCPU
	sum.free += max(0, free)
	for i, size := range pieceSizes {
		if free >= size {
			sum.pieces[i]++
		}
	}
}

func (s *session) linkOf(id string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[id]
}

// fillingUse returns how many filling tasks are slowed, and how many cores all filling tasks used as last listed.
func (s *session) fillingUse() (slowed int, cores float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if !r.task.Step.Spec.GetFilling() {
			continue
		}
		cores += r.cpuShare * float64(r.link.capacityMilliCPU) / 1000
		if r.pace < 100 {
			slowed++
		}
	}
	return slowed, cores
}
