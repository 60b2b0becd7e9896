package state

import (
	"errors"
	"fmt"

	"daisyswitch/wire"
)

var errNoConfiguration = errors.New("the snapshot has no configuration")

// Snapshot returns the complete state. The objects that it points to must not be modified.
func (m *Machine) Snapshot() *wire.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &wire.State{
		Index: m.index, Configuration: m.configuration, Answers: m.answers.Records(), Audit: m.audit.Records(),
		AuditFolded: m.audit.Folded(), LastChange: m.audit.Last(),
	}
	m.jobs.FillSnapshot(s)
	return s
}

// Restore replaces the state by a snapshot and calls the callbacks for everything in it. On error the state is unchanged.
func (m *Machine) Restore(s *wire.State) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.GetConfiguration() == nil {
		return fmt.Errorf("restore state: %w", errNoConfiguration)
	}
	previous, jobs := m.configuration, m.newJobs()
	m.configuration = s.Configuration
	if err := jobs.LoadSnapshot(s); err != nil {
		m.configuration = previous
		return fmt.Errorf("restore state at index %d: %w", s.Index, err)
	}
	m.jobs = jobs
	m.index = s.Index
	m.answers.Restore(s.Answers)
	m.audit.Restore(s.Audit, s.AuditFolded, s.LastChange)
	m.options.ConfigurationChanged(m.configuration)
	m.jobs.NotifyAll()
	return nil
}
