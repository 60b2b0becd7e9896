package state

import (
	"errors"
	"fmt"

	"daisyswitch/wire"
)

var errNoConfiguration = errors.New("the snapshot holds no configuration")

// Snapshot returns the whole state; what it points to is never altered.
func (m *Machine) Snapshot() *wire.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &wire.State{
		Index: m.index, Configuration: m.configuration, Answers: m.answers.Records(), Audit: m.audit.Records(),
		AuditFolded: m.audit.Folded(), LastChange: m.audit.Last(),
	}
	m.jobs.Fill(s)
	return s
}

// Restore replaces everything by a snapshot, whole or not at all, and tells of all of it.
func (m *Machine) Restore(s *wire.State) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.GetConfiguration() == nil {
		return fmt.Errorf("restore state: %w", errNoConfiguration)
	}
	last, jobs := m.configuration, m.newJobs()
	m.configuration = s.Configuration
	if err := jobs.Load(s); err != nil {
		m.configuration = last
		return fmt.Errorf("restore state at index %d: %w", s.Index, err)
	}
	m.jobs = jobs
	m.index = s.Index
	m.answers.Restore(s.Answers)
	m.audit.Restore(s.Audit, s.AuditFolded, s.LastChange)
	m.o.ConfigurationChanged(m.configuration)
	m.jobs.TellAll()
	return nil
}
