package state

import (
	"daisyswitch/configuration"
	"daisyswitch/wire"
)

const msPerDay = 24 * 60 * 60 * 1000

// tally returns the counts of a class, with those of the day begun anew if a later day has come.
func (m *Machine) tally(class string) *wire.Tally {
	t := m.tallies[class]
	if t == nil {
		t = &wire.Tally{Class: class}
		m.tallies[class] = t
	}
	if day := m.now / msPerDay; day > t.Day {
		t.Day = day
		t.DoneToday = 0
	}
	return t
}

// count adds a task that has ended to its class.
func (m *Machine) count(j *job, t *wire.Task) {
	switch t.State {
	case wire.TaskState_TASK_STATE_DONE:
		tally := m.tally(j.Class)
		tally.Done++
		tally.DoneToday++
	case wire.TaskState_TASK_STATE_FAILED:
		m.tally(j.Class).Failed++
	}
}

// dropTallies forgets the counts of classes that were removed.
func (m *Machine) dropTallies() {
	for name := range m.tallies {
		if configuration.Class(m.configuration.Classes, name) == nil {
			delete(m.tallies, name)
		}
	}
}

// fold forgets the jobs that ended and the workers that went longest ago, where there are too many.
func (m *Machine) fold() {
	for len(m.ended) > KeepEndedJobs || (m.endedTasks > KeepEndedTasks && len(m.ended) > 1) {
		j := m.ended[0]
		m.ended = m.ended[1:]
		m.endedTasks -= len(j.tasks)
		delete(m.jobs, j.Id)
	}
	for len(m.gone) > KeepGone {
		delete(m.workers, m.gone[0])
		m.gone = m.gone[1:]
	}
}

// foldLost drops the oldest lost replica of a job that shows too many.
func (m *Machine) foldLost(j *job) {
	if j.lost <= KeepLost {
		return
	}
	for at, t := range j.tasks {
		if t.State == wire.TaskState_TASK_STATE_LOST {
			j.tasks = append(j.tasks[:at:at], j.tasks[at+1:]...)
			j.lost--
			return
		}
	}
}
