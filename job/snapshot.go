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

// FillSnapshot adds jobs, workers and tallies to a snapshot. The objects that the snapshot points to must not be modified.
func (tb *Table) FillSnapshot(s *wire.State) {
	s.NextJob = tb.nextJob
	for _, j := range tb.unfinished() {
		s.Jobs = append(s.Jobs, j.record())
	}
	for _, j := range tb.endedJobs {
		s.Jobs = append(s.Jobs, j.record())
	}
	for _, name := range slices.Sorted(maps.Keys(tb.workers)) {
		if w := tb.workers[name]; !w.record.Gone {
			s.Workers = append(s.Workers, w.record)
		}
	}
	for _, name := range tb.goneWorkers {
		s.Workers = append(s.Workers, tb.workers[name].record)
	}
	s.Tallies = tb.tallies.Records()
}

// unfinished returns the jobs that have not ended, in order of submission.
func (tb *Table) unfinished() []*job {
	var unfinished []*job
	for _, j := range tb.jobs {
		if j.unfinished > 0 {
			unfinished = append(unfinished, j)
		}
	}
	slices.SortFunc(unfinished, func(a, b *job) int { return cmp.Compare(a.number, b.number) })
	return unfinished
}

func (j *job) record() *wire.JobRecord {
	return &wire.JobRecord{Job: j.Job, Tasks: slices.Clone(j.tasks), Cancelled: j.cancelled, SubmittedMs: j.submitted}
}

// NotifyAll calls the callbacks for all workers and for the tasks of all jobs that have not ended.
func (tb *Table) NotifyAll() {
	for _, name := range slices.Sorted(maps.Keys(tb.workers)) {
		tb.options.WorkerChanged(tb.workers[name].record)
	}
	tb.EachTask(tb.options.TaskChanged)
}

// LoadSnapshot fills an empty table from a snapshot, or returns why the snapshot is inconsistent.
func (tb *Table) LoadSnapshot(s *wire.State) error {
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
	return tb.checkCommitments()
}

func (tb *Table) loadWorker(r *wire.WorkerRecord) {
	w := &worker{record: r, capacity: resource.FromWire(r.Capacity), offered: resource.FromWire(r.Capacity)}
	if r.Offered != nil {
		w.offered = resource.FromWire(r.Offered)
	}
	tb.workers[r.Name] = w
	if r.Gone {
		tb.goneWorkers = append(tb.goneWorkers, r.Name)
	}
}

func (tb *Table) loadJob(r *wire.JobRecord) error {
	number, err := task.JobNumber(r.GetJob().GetId())
	if err != nil {
		return err
	}
	class := configuration.Class(tb.options.Configuration().Classes, r.Job.Class)
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
	tb.unfinishedTasks += j.unfinished
	if j.unfinished == 0 {
		tb.endedJobs = append(tb.endedJobs, j)
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
			return fmt.Errorf("task %s/%d is committed to the unknown worker %q", t.Job, t.Index, t.Worker)
		}
		w.hold(j, t)
		j.unfinished++
	case task.Queued(t):
		j.unfinished++
	case t.State == wire.TaskState_TASK_STATE_LOST:
		j.lost++
	}
	return nil
}

func (tb *Table) checkCommitments() error {
	for name, w := range tb.workers {
		if !w.committed.Fits(w.capacity) {
			return fmt.Errorf("worker %s: the resources committed to it exceed its capacity", name)
		}
	}
	return nil
}
