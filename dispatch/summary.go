package dispatch

import (
	"time"

	"daisyswitch/event"
	"daisyswitch/workflow"
)

// summaryEvery is how often the leader logs how full its workers are.
const summaryEvery = 2 * time.Second

// pieceSizes are the thousandths of a core of the free pieces that a summary counts; few tasks are larger than the last.
var pieceSizes = [...]int64{1000, 2000, 4000, 8000}

// effort is what the loop has done since the last summary; the loop alone uses it.
type effort struct {
	rounds    int
	inRounds  time.Duration
	inCommits time.Duration
	starts    int
}

// summary is what one look at the workers and at what waits found.
type summary struct {
	capacity, used, fill, free        int64 // thousandths of a core; free counts usable workers only
	workers, usable, running, serving int
	pieces                            [len(pieceSizes)]int // free pieces of at least those sizes
	waiting, inTime                   map[string]int       // tasks by queue
}

// summarize logs how full the workers are, what waits, and what the loop has done.
func (s *session) summarize() {
	now := s.Boot()
	if now < s.summaryAt {
		return
	}
	s.summaryAt = now + summaryEvery
	sum := &summary{waiting: map[string]int{}, inTime: map[string]int{}}
	s.Table.View(func(t *workflow.Tables) {
		for id, w := range t.Workers {
			l := s.linkOf(id)
			sum.add(w, l != nil && l.usable(now))
		}
		for step := range t.Waiting {
			queue := step.Job.Spec.GetQueue()
			sum.waiting[queue] += step.Waiting
			if s.reaches(step, s.Wall().UnixMilli()) == inTime {
				sum.inTime[queue] += step.Waiting
			}
		}
	})
	slowed, filling := s.filling()
	done := s.done
	s.done = effort{}
	event.LoadSummary.Info("workers", sum.workers, "usable", sum.usable, "cores", sum.capacity/1000, "used_cores", sum.used/1000, "filling_cores", sum.fill/1000, "filling_used_cores", int64(filling),
		"free_cores", sum.free/1000, "pieces", sum.pieces, "slowed", slowed, "running", sum.running, "serving", sum.serving, "waiting", sum.waiting, "in_time", sum.inTime,
		"rounds", done.rounds, "rounds_ms", done.inRounds.Milliseconds(), "commits_ms", done.inCommits.Milliseconds(), "starts", done.starts)
}

func (sum *summary) add(w *workflow.Worker, usable bool) {
	sum.workers++
	sum.capacity += w.Capacity.MilliCPU
	sum.used += w.Used.MilliCPU
	sum.fill += w.Fill.MilliCPU
	sum.running += len(w.Tasks)
	for task := range w.Tasks {
		if serves(task.Step.Spec) {
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

// filling returns how many filling tasks are slowed, and how many cores all of them used lately.
func (s *session) filling() (slowed int, cores float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if !r.task.Step.Spec.GetFilling() {
			continue
		}
		cores += r.share * float64(r.link.processors) / 1000
		if r.pace < 100 {
			slowed++
		}
	}
	return slowed, cores
}
