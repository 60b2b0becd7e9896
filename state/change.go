package state

import (
	"crypto/sha256"
	"fmt"

	"daisyswitch/answer"
	"daisyswitch/configuration"
	"daisyswitch/wire"
)

// applyChange answers an operator's change. A resend gets the first answer again. Any other change is accepted only if it is based on the current version.
func (m *Machine) applyChange(c *wire.Change) *wire.ChangeResult {
	text := configuration.Describe(m.configuration, c)
	if err := checkRequestID(c.Operator, c.Sequence); err != nil {
		return m.refuse(c, text, err.Error())
	}
	digest := changeDigest(c, text)
	finding, first := m.answers.Find(c.Operator, c.Sequence, digest)
	switch finding {
	case answer.Repeat:
		return first.Change
	case answer.Reused:
		return m.conflictReused(c, text, first)
	case answer.TooOld, answer.TooManyOperators:
		return m.refuse(c, text, findingReason(finding))
	}
	result := m.applyIfCurrent(c, text)
	m.answers.Add(&wire.AnswerRecord{Operator: c.Operator, Sequence: c.Sequence, Digest: digest, Change: result})
	return result
}

func (m *Machine) applyIfCurrent(c *wire.Change, text configuration.Description) *wire.ChangeResult {
	if !m.isCurrent(c.BaseVersion) {
		reason := fmt.Sprintf("made from version %d, but the version is %d", c.BaseVersion, m.configuration.Version)
		return m.conflict(c, text, reason, m.audit.Last())
	}
	next, err := configuration.Apply(m.configuration, c, configuration.Usage{Class: m.jobs.ClassUsers, Team: m.jobs.TeamUsers})
	if err != nil {
		return m.refuse(c, text, err.Error())
	}
	m.setConfiguration(next)
	m.jobs.DropTallies()
	record := m.record(c, text, wire.Outcome_OUTCOME_ACCEPTED, "")
	return &wire.ChangeResult{Outcome: wire.Outcome_OUTCOME_ACCEPTED, Version: next.Version, Winner: record}
}

// isCurrent reports whether no operator has changed the configuration since version base.
// A domain added by a worker's announcement increases the version but conflicts with no operator's change.
func (m *Machine) isCurrent(base uint64) bool {
	changed := max(m.audit.Last().GetVersion(), firstVersion)
	return changed <= base && base <= m.configuration.Version
}

func (m *Machine) setConfiguration(next *wire.Configuration) {
	m.configuration = next
	m.options.ConfigurationChanged(next)
}

func (m *Machine) refuse(c *wire.Change, text configuration.Description, reason string) *wire.ChangeResult {
	reason = configuration.Truncate(reason, MaxReasonBytes)
	m.record(c, text, wire.Outcome_OUTCOME_REFUSED, reason)
	return &wire.ChangeResult{Outcome: wire.Outcome_OUTCOME_REFUSED, Version: m.configuration.Version, Reason: reason}
}

func (m *Machine) conflict(c *wire.Change, text configuration.Description, reason string, winner *wire.AuditRecord) *wire.ChangeResult {
	m.record(c, text, wire.Outcome_OUTCOME_CONFLICT, reason)
	return &wire.ChangeResult{Outcome: wire.Outcome_OUTCOME_CONFLICT, Version: m.configuration.Version, Reason: reason, Winner: winner}
}

// conflictReused answers a change whose sequence number the operator has already used for another request.
func (m *Machine) conflictReused(c *wire.Change, text configuration.Description, first *wire.AnswerRecord) *wire.ChangeResult {
	reason := fmt.Sprintf("sequence %d of operator %s was used for another request", c.Sequence, c.Operator)
	return m.conflict(c, text, reason, first.Change.GetWinner())
}

// record adds a change to the audit trail.
func (m *Machine) record(c *wire.Change, text configuration.Description, outcome wire.Outcome, reason string) *wire.AuditRecord {
	r := &wire.AuditRecord{
		Index: m.index, TimeMs: m.commandTime, Operator: configuration.Truncate(c.Operator, configuration.MaxNameBytes), Sequence: c.Sequence,
		Action: configuration.Truncate(text.Action, MaxAuditBytes), Before: text.Before, After: configuration.Truncate(text.After, MaxAuditBytes),
		Version: m.configuration.Version, Outcome: outcome, Reason: reason,
	}
	m.audit.Add(r)
	return r
}

// addAnnouncedDomain adds a failure domain that a worker announced, unless it is already configured.
func (m *Machine) addAnnouncedDomain(name, worker string) {
	if configuration.Domain(m.configuration.Domains, name) != nil {
		return
	}
	c := &wire.Change{
		BaseVersion: m.configuration.Version,
		Operation:   &wire.Change_SetDomain{SetDomain: &wire.Domain{Name: name}},
	}
	next, err := configuration.Apply(m.configuration, c, configuration.Usage{})
	if err != nil {
		return
	}
	text := configuration.Describe(m.configuration, c)
	m.setConfiguration(next)
	m.record(c, text, wire.Outcome_OUTCOME_ACCEPTED, "announced by worker "+worker)
}

func checkRequestID(operator string, sequence uint64) error {
	if err := configuration.CheckName(operator); err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	if sequence == 0 {
		return fmt.Errorf("operator %s: sequence numbers begin at 1", operator)
	}
	return nil
}

func findingReason(f answer.LookupResult) string {
	if f == answer.TooOld {
		return "the sequence number is below the range whose answers are kept"
	}
	return "too many operators are known to remember another"
}

// changeDigest distinguishes a resend from another change with the same sequence number.
func changeDigest(c *wire.Change, text configuration.Description) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "change %d %q %q", c.BaseVersion, text.Action, text.After))
	return sum[:]
}
