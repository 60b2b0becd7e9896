package state

import (
	"maps"
	"slices"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Configuration returns the configuration in force; it is never altered.
func (m *Machine) Configuration() *wire.Configuration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configuration
}

// Index returns the log index of the command applied last.
func (m *Machine) Index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Audit returns about limit records with a log index above after, and how many of the oldest are no longer kept.
func (m *Machine) Audit(after uint64, limit int) (records []*wire.AuditRecord, folded uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.audit.After(after, limit), m.audit.Folded()
}

// Job returns a job with its tasks, nil if it is unknown or ended too long ago.
func (m *Machine) Job(id string) *wire.JobRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	j := m.jobs[id]
	if j == nil {
		return nil
	}
	return j.record()
}

// Worker returns a worker's record, nil if it is unknown.
func (m *Machine) Worker(name string) *wire.WorkerRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	w := m.workers[name]
	if w == nil {
		return nil
	}
	return w.record
}

// OnWorker returns the tasks committed to a worker, in order of job and index.
func (m *Machine) OnWorker(name string) []Held {
	m.mu.RLock()
	defer m.mu.RUnlock()
	w := m.workers[name]
	if w == nil {
		return nil
	}
	all := make([]Held, 0, len(w.held))
	for _, h := range w.held {
		all = append(all, Held{Job: h.job.Job, Task: h.task, Service: h.job.service})
	}
	return all
}

// Each calls f for every task of the jobs that have not ended, in order of submission and index.
func (m *Machine) Each(f func(*wire.Job, *wire.Task)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, j := range m.open() {
		for _, t := range j.tasks {
			f(j.Job, t)
		}
	}
}

// EachWorker calls f for every known worker in order of name.
func (m *Machine) EachWorker(f func(*wire.WorkerRecord)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, name := range slices.Sorted(maps.Keys(m.workers)) {
		f(m.workers[name].record)
	}
}

// Tallies returns the counts of each class in order of name.
func (m *Machine) Tallies() []*wire.Tally {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tallyRecords()
}

// ClassTotals counts the tasks of one class.
type ClassTotals struct {
	Class   string
	Queued  int64
	Running int64 // committed to a worker
}

// Totals counts workers, their resources and the tasks of each class in order of name.
type Totals struct {
	Workers     int64
	WorkersGone int64
	Capacity    resource.Size
	Committed   resource.Size
	Classes     []ClassTotals
}

// Totals counts everything that status shows.
func (m *Machine) Totals() Totals {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var t Totals
	for _, w := range m.workers {
		if w.record.Gone {
			t.WorkersGone++
			continue
		}
		t.Workers++
		t.Capacity = t.Capacity.Add(w.capacity)
		t.Committed = t.Committed.Add(w.committed)
	}
	for _, c := range m.configuration.Classes {
		t.Classes = append(t.Classes, m.classTotals(c.Name))
	}
	return t
}

func (m *Machine) classTotals(class string) ClassTotals {
	t := ClassTotals{Class: class}
	for _, j := range m.jobs {
		if j.Class != class || j.open == 0 {
			continue
		}
		for _, task := range j.tasks {
			switch {
			case queued(task):
				t.Queued++
			case held(task):
				t.Running++
			}
		}
	}
	return t
}
