package state

import "daisyswitch/wire"

// Configuration returns the current configuration, which must not be modified.
func (m *Machine) Configuration() *wire.Configuration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configuration
}

// Index returns the log index of the last command applied.
func (m *Machine) Index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Audit returns the oldest records with a log index above after, and how many of the oldest records have been dropped.
// It returns more than limit records if the last ones have the same index.
func (m *Machine) Audit(after uint64, limit int) (records []*wire.AuditRecord, folded uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.audit.After(after, limit), m.audit.Folded()
}

// Job returns a job with its tasks, nil if it is unknown or no longer kept after its end.
func (m *Machine) Job(id string) *wire.JobRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.jobs.Record(id)
}

// Worker returns a worker's record, nil if it is unknown.
func (m *Machine) Worker(name string) *wire.WorkerRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.jobs.Worker(name)
}

// OnWorker returns the tasks committed to a worker, ordered by job and index.
func (m *Machine) OnWorker(name string) []Held {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.jobs.OnWorker(name)
}

// EachTask calls f for every task of the jobs that have not ended, in order of submission and index.
func (m *Machine) EachTask(f func(*wire.Job, *wire.Task)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	m.jobs.EachTask(f)
}

// EachWorker calls f for every known worker in order of name.
func (m *Machine) EachWorker(f func(*wire.WorkerRecord)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	m.jobs.EachWorker(f)
}

// Tallies returns the counts of each class in order of name.
func (m *Machine) Tallies() []*wire.Tally {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.jobs.Tallies()
}

// Totals counts workers, their resources and the tasks of each class.
func (m *Machine) Totals() Totals {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.jobs.Totals()
}
