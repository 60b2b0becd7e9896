package job

import (
	"maps"
	"slices"

	"daisyswitch/tally"
	"daisyswitch/task"
	"daisyswitch/wire"
)

// Record returns a job with its tasks, nil if it is unknown or no longer kept after its end.
func (tb *Table) Record(id string) *wire.JobRecord {
	j := tb.jobs[id]
	if j == nil {
		return nil
	}
	return j.record()
}

// Worker returns a worker's record, nil if it is unknown.
func (tb *Table) Worker(name string) *wire.WorkerRecord {
	w := tb.workers[name]
	if w == nil {
		return nil
	}
	return w.record
}

// OnWorker returns the tasks committed to a worker, ordered by job and index.
func (tb *Table) OnWorker(name string) []Held {
	w := tb.workers[name]
	if w == nil {
		return nil
	}
	all := make([]Held, 0, len(w.held))
	for _, h := range w.held {
		all = append(all, Held{Job: h.job.Job, Task: h.task, Service: h.job.service})
	}
	return all
}

// EachTask calls f for every task of the jobs that have not ended, in order of submission and index.
func (tb *Table) EachTask(f func(*wire.Job, *wire.Task)) {
	for _, j := range tb.unfinished() {
		for _, t := range j.tasks {
			f(j.Job, t)
		}
	}
}

// EachWorker calls f for every known worker in order of name.
func (tb *Table) EachWorker(f func(*wire.WorkerRecord)) {
	for _, name := range slices.Sorted(maps.Keys(tb.workers)) {
		f(tb.workers[name].record)
	}
}

// Tallies returns the counts of each class in order of name.
func (tb *Table) Tallies() []*wire.Tally {
	return tb.tallies.Records()
}

// Totals counts what the status shows.
func (tb *Table) Totals() tally.Totals {
	var t tally.Totals
	for _, w := range tb.workers {
		if w.record.Gone {
			t.WorkersGone++
			continue
		}
		t.Workers++
		t.Capacity = t.Capacity.Add(w.capacity)
		t.Committed = t.Committed.Add(w.committed)
	}
	for _, c := range tb.options.Configuration().Classes {
		t.Classes = append(t.Classes, tb.classTotals(c.Name))
	}
	return t
}

func (tb *Table) classTotals(class string) tally.ClassTotals {
	totals := tally.ClassTotals{Class: class}
	for _, j := range tb.jobs {
		if j.Class != class || j.unfinished == 0 {
			continue
		}
		for _, item := range j.tasks {
			switch {
			case task.Queued(item):
				totals.Queued++
			case task.Held(item):
				totals.Running++
			}
		}
	}
	return totals
}
