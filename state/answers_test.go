package state_test

import (
	"fmt"
	"testing"

	"daisyswitch/state"
	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

func putClass(operator string, sequence, base uint64, target int64) *wire.Change {
	return &wire.Change{Operator: operator, Sequence: sequence, BaseVersion: base, Operation: &wire.Change_PutClass{
		PutClass: &wire.Class{Name: "bids", Kind: wire.ClassKind_CLASS_KIND_SERVICE, TargetP99Us: target},
	}}
}

func (r *checkedMachine) change(c *wire.Change) *wire.ChangeResult {
	return r.apply(&wire.Command{Change: proto.CloneOf(c)}).Change
}

func TestOneOfTwoOperatorsWins(t *testing.T) {
	r := newCheckedMachine()
	won, lost := putClass("ana", 7, 1, 100), putClass("bea", 7, 1, 200)
	first := r.change(won)
	assert.Equal(t, first.Outcome, wire.Outcome_OUTCOME_ACCEPTED)
	second := r.change(lost)
	assert.Equal(t, second.Outcome, wire.Outcome_OUTCOME_CONFLICT)
	assert.Equal(t, second.Winner.Operator, "ana")
	assert.Equal(t, second.Winner.After, `{"name":"bids","kind":"service","target_p99_us":100}`)

	assert.Equal(t, r.change(putClass("cy", 1, 2, 300)).Version, uint64(3))
	assert.NilError(t, r.Restore(proto.CloneOf(r.Snapshot())))
	assert.Assert(t, proto.Equal(r.change(won), first))
	assert.Assert(t, proto.Equal(r.change(lost), second))
	assert.Equal(t, r.Configuration().Classes[0].TargetP99Us, int64(300))
}

// TestAnnouncedDomainTakesNothingFromOperators announces a worker in a new domain between an operator's read and its change.
// The announcement increases the version, which must not make the change conflict.
func TestAnnouncedDomainTakesNothingFromOperators(t *testing.T) {
	r := newCheckedMachine()
	r.change(putClass("ana", 1, 1, 100))
	r.apply(&wire.Command{Workers: []*wire.WorkerRecord{{Name: "new", Domain: "far", Rack: "r", Incarnation: "i", Capacity: &wire.Size{MilliCpu: 1}}}})
	assert.Equal(t, r.Configuration().Version, uint64(3))
	assert.NilError(t, r.Restore(proto.CloneOf(r.Snapshot())))
	assert.Equal(t, r.change(putClass("bea", 1, 2, 200)).Outcome, wire.Outcome_OUTCOME_ACCEPTED)
	assert.Equal(t, r.change(putClass("cy", 1, 3, 300)).Winner.GetOperator(), "bea")
}

func TestTwoPeopleUnderOneNameAndNumber(t *testing.T) {
	r := newCheckedMachine()
	r.change(putClass("ops", 1, 1, 100))
	second := r.change(putClass("ops", 1, 2, 200))
	assert.Equal(t, second.Outcome, wire.Outcome_OUTCOME_CONFLICT)
	assert.Equal(t, second.Winner.After, `{"name":"bids","kind":"service","target_p99_us":100}`)
	submit := &wire.SubmitJob{Operator: "ops", Sequence: 1, Job: &wire.Job{Class: "bids"}}
	assert.Equal(t, r.apply(&wire.Command{Submit: submit}).Job.Outcome, wire.Outcome_OUTCOME_CONFLICT)
	records, _ := r.Audit(0, 10)
	assert.Equal(t, len(records), 2)
	assert.Equal(t, records[1].Outcome, wire.Outcome_OUTCOME_CONFLICT)
}

func TestConflictTellsOfTheLastChangeWhenAuditIsFolded(t *testing.T) {
	r := &checkedMachine{Machine: state.New(state.Options{AuditKeep: 2})}
	r.change(putClass("ana", 1, 1, 100))
	for n := uint64(1); n < 9; n++ {
		r.change(&wire.Change{Operator: "bea", Sequence: n, BaseVersion: 2, Operation: &wire.Change_RemoveTeam{RemoveTeam: "none"}})
	}
	assert.NilError(t, r.Restore(proto.CloneOf(r.Snapshot())))
	assert.Equal(t, r.change(putClass("cy", 1, 1, 300)).Winner.GetOperator(), "ana")
	records, folded := r.Audit(0, 10)
	assert.Equal(t, len(records), 2)
	assert.Equal(t, folded, uint64(8))
}

func TestNumbersBelowTheKeptRangeAreNeverExecuted(t *testing.T) {
	r := &checkedMachine{Machine: state.New(state.Options{AnswersKeep: 3})}
	for _, c := range setupCommands() {
		r.apply(c)
	}
	submit := func(n uint64) *wire.JobResult {
		return r.apply(&wire.Command{Submit: &wire.SubmitJob{Operator: "cy", Sequence: n, Job: &wire.Job{
			Class: "lots", Team: "oak", Program: "p", Size: &wire.Size{MilliCpu: 1000}, Tasks: 1,
		}}}).Job
	}
	first := submit(3)
	for _, n := range []uint64{5, 4, 9} {
		assert.Equal(t, submit(n).Outcome, wire.Outcome_OUTCOME_ACCEPTED)
	}
	assert.Equal(t, first.Outcome, wire.Outcome_OUTCOME_ACCEPTED)
	before := r.Snapshot()
	assert.Equal(t, submit(3).Outcome, wire.Outcome_OUTCOME_REFUSED)
	assert.Equal(t, submit(1).Outcome, wire.Outcome_OUTCOME_REFUSED)
	assert.Equal(t, r.Snapshot().NextJob, before.NextJob)
	assert.Equal(t, submit(5).Job, "j2")
}

func TestRefusedChanges(t *testing.T) {
	team := func(q *wire.Size) *wire.Change {
		return &wire.Change{Operation: &wire.Change_PutTeam{PutTeam: &wire.Team{Name: "t", Quota: q}}}
	}
	class := func(c *wire.Class) *wire.Change {
		return &wire.Change{Operation: &wire.Change_PutClass{PutClass: c}}
	}
	service, batch := wire.ClassKind_CLASS_KIND_SERVICE, wire.ClassKind_CLASS_KIND_BATCH
	cases := map[string]*wire.Change{
		"no operation":             {},
		"bad name":                 class(&wire.Class{Name: "a b", Kind: service, TargetP99Us: 1}),
		"no kind":                  class(&wire.Class{Name: "c", TargetP99Us: 1}),
		"service without target":   class(&wire.Class{Name: "c", Kind: service}),
		"service with volume":      class(&wire.Class{Name: "c", Kind: service, TargetP99Us: 1, TargetVolume: 1}),
		"batch without volume":     class(&wire.Class{Name: "c", Kind: batch}),
		"batch with latency":       class(&wire.Class{Name: "c", Kind: batch, TargetVolume: 1, TargetP99Us: 1}),
		"due after the day":        class(&wire.Class{Name: "c", Kind: batch, TargetVolume: 1, DueMinute: 1440}),
		"kind of a class in use":   class(&wire.Class{Name: "lots", Kind: service, TargetP99Us: 1}),
		"empty quota":              team(nil),
		"quota below zero":         team(&wire.Size{MilliCpu: -1, MemoryMib: 1}),
		"removal of a class used":  {Operation: &wire.Change_RemoveClass{RemoveClass: "lots"}},
		"removal of a team used":   {Operation: &wire.Change_RemoveTeam{RemoveTeam: "oak"}},
		"removal of what is not":   {Operation: &wire.Change_RemoveTeam{RemoveTeam: "elm"}},
		"domain without a name":    {Operation: &wire.Change_SetDomain{SetDomain: &wire.Domain{Out: true}}},
		"change without a number":  {Operator: "nobody", Operation: &wire.Change_RemoveTeam{RemoveTeam: "oak"}},
		"change without a person ": {Operator: " ", Operation: &wire.Change_RemoveTeam{RemoveTeam: "oak"}},
	}
	r := newCheckedMachine()
	for _, c := range setupCommands() {
		r.apply(c)
	}
	r.submit(t, "lots", 1)
	n := uint64(100)
	for name, c := range cases {
		c.BaseVersion = r.Configuration().Version
		if c.Operator == "" {
			n++
			c.Operator, c.Sequence = "ana", n
		}
		result := r.change(c)
		assert.Equal(t, result.Outcome, wire.Outcome_OUTCOME_REFUSED, name)
		assert.Assert(t, result.Reason != "", name)
		assert.Equal(t, result.Version, c.BaseVersion, name)
	}
}

// submit submits a job with tasks of one core each and returns its ID.
func (r *checkedMachine) submit(t *testing.T, class string, tasks int32) string {
	result := r.apply(&wire.Command{Submit: &wire.SubmitJob{Job: &wire.Job{
		Class: class, Team: "oak", Program: "p", Size: &wire.Size{MilliCpu: 1000, MemoryMib: 1}, Tasks: tasks,
	}}}).Job
	assert.Equal(t, result.Outcome, wire.Outcome_OUTCOME_ACCEPTED, fmt.Sprint(result))
	return result.Job
}
