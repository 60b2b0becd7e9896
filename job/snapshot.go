package job

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"daisyswitch/configuration"
	"daisyswitch/resource"
	"daisyswitch/task"
	"daisyswitch/wire"
)

// Fill puts jobs, workers and tallies into a snapshot; what it points to is never altered.
func (tb *Table) Fill(s *wire.State) {
	s.NextJob = tb.nextJob
	for _, j := range tb.open() {
		s.Jobs = append(s.Jobs, j.record())
	}
	for _, j := range tb.ended {
		s.Jobs = append(s.Jobs, j.record())
	}
	for _, name := range slices.Sorted(maps.Keys(tb.workers)) {
		if w := tb.workers[name]; !w.record.Gone {
			s.Workers = append(s.Workers, w.record)
		}
	}
	for _, name := range tb.gone {
		s.Workers = append(s.Workers, tb.workers[name].record)
	}
	s.Tallies = tb.tallies.Records()
}

// open returns the jobs that have not ended in order of submission.
func (tb *Table) open() []*job {
	var open []*job
	for _, j := range tb.jobs {
		if j.open > 0 {
			open = append(open, j)
		}
	}
	slices.SortFunc(open, func(a, b *job) int { return cmp.Compare(a.number, b.number) })
	return open
}

func (j *job) record() *wire.JobRecord {
	return &wire.JobRecord{Job: j.Job, Tasks: slices.Clone(j.tasks), Cancelled: j.cancelled, SubmittedMs: j.submitted}
}

// TellAll tells of all workers and of the tasks of all jobs that have not ended.
func (tb *Table) TellAll() {
	for _, name := range slices.Sorted(maps.Keys(tb.workers)) {
		tb.o.WorkerChanged(tb.workers[name].record)
	}
	tb.Each(tb.o.TaskChanged)
}

// Load fills an empty table from a snapshot, or says why the snapshot makes no sense.
func (tb *Table) Load(s *wire.State) error {
	tb.nextJob = s.NextJob
	tb.tallies.Restore(s.Tallies)
	for _, r := range s.Workers {
		tb.loadWorker(r)
	}
	for _, r := range s.Jobs {
		if err := tb.loadJob(r); err != nil {
			return err
		}
	}
	return tb.checkLoaded()
}

func (tb *Table) loadWorker(r *wire.WorkerRecord) {
	w := &worker{record: r, capacity: resource.FromWire(r.Capacity), offered: resource.FromWire(r.Capacity)}
	if r.Offered != nil {
		w.offered = resource.FromWire(r.Offered)
	}
	tb.workers[r.Name] = w
	if r.Gone {
		tb.gone = append(tb.gone, r.Name)
	}
}

func (tb *Table) loadJob(r *wire.JobRecord) error {
	number, err := task.JobNumber(r.GetJob().GetId())
	if err != nil {
		return err
	}
	class := configuration.Class(tb.o.Configuration().Classes, r.Job.Class)
	j := &job{
		Job: r.Job, number: number, tasks: slices.Clone(r.Tasks), cancelled: r.Cancelled, submitted: r.SubmittedMs,
		service: class.GetKind() == wire.ClassKind_CLASS_KIND_SERVICE,
	}
	tb.jobs[j.Id] = j
	for _, t := range j.tasks {
		if err := tb.loadTask(j, t); err != nil {
			return err
		}
	}
	tb.live += j.open
	if j.open == 0 {
		tb.ended = append(tb.ended, j)
		tb.endedTasks += len(j.tasks)
		return nil
	}
	tb.classJobs[j.Class]++
	tb.teamJobs[j.Team]++
	return nil
}

func (tb *Table) loadTask(j *job, t *wire.Task) error {
	switch {
	case task.Held(t):
		w := tb.workers[t.Worker]
		if w == nil {
			return fmt.Errorf("task %s/%d is held by the unknown worker %q", t.Job, t.Index, t.Worker)
		}
		w.hold(j, t)
		j.open++
	case task.Queued(t):
		j.open++
	case t.State == wire.TaskState_TASK_STATE_LOST:
		j.lost++
	}
	return nil
}

func (tb *Table) checkLoaded() error {
	for name, w := range tb.workers {
		if !w.committed.Fits(w.capacity) {
			return fmt.Errorf("worker %s is committed beyond its capacity", name)
		}
	}
	return nil
}
