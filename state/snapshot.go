package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"daisyswitch/configuration"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Snapshot returns the whole state; what it points to is never altered, but for its own slices.
func (m *Machine) Snapshot() *wire.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &wire.State{
		Index: m.index, Configuration: m.configuration, Answers: m.answers.Records(), Audit: m.audit.Records(),
		AuditFolded: m.audit.Folded(), LastChange: m.audit.Last(), NextJob: m.nextJob,
	}
	for _, j := range m.open() {
		s.Jobs = append(s.Jobs, j.record())
	}
	for _, j := range m.ended {
		s.Jobs = append(s.Jobs, j.record())
	}
	for _, name := range slices.Sorted(maps.Keys(m.workers)) {
		if w := m.workers[name]; !w.record.Gone {
			s.Workers = append(s.Workers, w.record)
		}
	}
	for _, name := range m.gone {
		s.Workers = append(s.Workers, m.workers[name].record)
	}
	s.Tallies = m.tallyRecords()
	return s
}

// open returns the jobs that have not ended in order of submission.
func (m *Machine) open() []*job {
	var open []*job
	for _, j := range m.jobs {
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

func (m *Machine) tallyRecords() []*wire.Tally {
	var all []*wire.Tally
	for _, name := range slices.Sorted(maps.Keys(m.tallies)) {
		t := m.tallies[name]
		all = append(all, &wire.Tally{
			Class: t.Class, Done: t.Done, Failed: t.Failed, Evicted: t.Evicted, Day: t.Day, DoneToday: t.DoneToday,
		})
	}
	return all
}

// Restore replaces everything by a snapshot, whole or not at all, and tells of all of it.
func (m *Machine) Restore(s *wire.State) error {
	fresh := New(Options{AuditKeep: m.o.AuditKeep, AnswersKeep: m.o.AnswersKeep})
	if err := fresh.load(s); err != nil {
		return fmt.Errorf("restore state at index %d: %w", s.GetIndex(), err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.configuration, m.answers, m.audit = fresh.index, fresh.configuration, fresh.answers, fresh.audit
	m.jobs, m.nextJob, m.live = fresh.jobs, fresh.nextJob, fresh.live
	m.classJobs, m.teamJobs = fresh.classJobs, fresh.teamJobs
	m.ended, m.endedTasks = fresh.ended, fresh.endedTasks
	m.workers, m.gone, m.tallies = fresh.workers, fresh.gone, fresh.tallies
	m.tellAll()
	return nil
}

func (m *Machine) tellAll() {
	m.o.ConfigurationChanged(m.configuration)
	for _, name := range slices.Sorted(maps.Keys(m.workers)) {
		m.o.WorkerChanged(m.workers[name].record)
	}
	for _, j := range m.open() {
		for _, t := range j.tasks {
			m.o.TaskChanged(j.Job, t)
		}
	}
}

func (m *Machine) load(s *wire.State) error {
	if s.GetConfiguration() == nil {
		return fmt.Errorf("no configuration")
	}
	m.index = s.Index
	m.configuration = s.Configuration
	m.answers.Restore(s.Answers)
	m.audit.Restore(s.Audit, s.AuditFolded, s.LastChange)
	m.nextJob = s.NextJob
	for _, t := range s.Tallies {
		m.tallies[t.Class] = &wire.Tally{
			Class: t.Class, Done: t.Done, Failed: t.Failed, Evicted: t.Evicted, Day: t.Day, DoneToday: t.DoneToday,
		}
	}
	for _, r := range s.Workers {
		m.loadWorker(r)
	}
	for _, r := range s.Jobs {
		if err := m.loadJob(r); err != nil {
			return err
		}
	}
	return m.checkLoaded()
}

func (m *Machine) loadWorker(r *wire.WorkerRecord) {
	w := &worker{record: r, capacity: resource.FromWire(r.Capacity), offered: resource.FromWire(r.Capacity)}
	if r.Offered != nil {
		w.offered = resource.FromWire(r.Offered)
	}
	m.workers[r.Name] = w
	if r.Gone {
		m.gone = append(m.gone, r.Name)
	}
}

func (m *Machine) loadJob(r *wire.JobRecord) error {
	number, err := jobNumber(r.GetJob().GetId())
	if err != nil {
		return err
	}
	class := configuration.Class(m.configuration.Classes, r.Job.Class)
	j := &job{
		Job: r.Job, number: number, tasks: slices.Clone(r.Tasks), cancelled: r.Cancelled, submitted: r.SubmittedMs,
		service: class.GetKind() == wire.ClassKind_CLASS_KIND_SERVICE,
	}
	m.jobs[j.Id] = j
	for _, t := range j.tasks {
		if err := m.loadTask(j, t); err != nil {
			return err
		}
	}
	m.live += j.open
	if j.open == 0 {
		m.ended = append(m.ended, j)
		m.endedTasks += len(j.tasks)
		return nil
	}
	m.classJobs[j.Class]++
	m.teamJobs[j.Team]++
	return nil
}

func (m *Machine) loadTask(j *job, t *wire.Task) error {
	switch {
	case held(t):
		w := m.workers[t.Worker]
		if w == nil {
			return fmt.Errorf("task %s/%d is held by the unknown worker %q", t.Job, t.Index, t.Worker)
		}
		w.hold(j, t)
		j.open++
	case queued(t):
		j.open++
	case t.State == wire.TaskState_TASK_STATE_LOST:
		j.lost++
	}
	return nil
}

func (m *Machine) checkLoaded() error {
	for name, w := range m.workers {
		if !w.committed.Fits(w.capacity) {
			return fmt.Errorf("worker %s is committed beyond its capacity", name)
		}
	}
	return nil
}
