package answer

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"daisyswitch/wire"
)

// Defaults of Options.
const (
	DefaultKeep      = 256  // answers per operator
	DefaultOperators = 1024 // names of operators
)

// Options bounds a table; all replicas must have equal ones, since the table is part of their state.
type Options struct {
	Keep      int // answers per operator, those with the highest sequence numbers; 0 for DefaultKeep
	Operators int // names remembered; 0 for DefaultOperators
}

// Finding says what a table knows of a request.
type Finding int

// The findings.
const (
	Fresh   Finding = iota // not seen before, to be executed
	Repeat                 // the same request again, to be given its first answer
	Reused                 // another request has had this operator and sequence number
	TooOld                 // below the range of sequence numbers that is kept, never to be executed
	Crowded                // a new operator's name while the table holds as many as it may
)

// Table holds the answers of each operator in order of sequence number.
type Table struct {
	o         Options
	operators map[string][]*wire.AnswerRecord
}

// New returns an empty table.
func New(o Options) *Table {
	if o.Keep <= 0 {
		o.Keep = DefaultKeep
	}
	if o.Operators <= 0 {
		o.Operators = DefaultOperators
	}
	return &Table{o: o, operators: map[string][]*wire.AnswerRecord{}}
}

// Find looks a request up by operator and sequence number; the record is the first answer of a Repeat or Reused one.
func (t *Table) Find(operator string, sequence uint64, digest []byte) (Finding, *wire.AnswerRecord) {
	records, known := t.operators[operator]
	if !known && len(t.operators) >= t.o.Operators {
		return Crowded, nil
	}
	at, found := search(records, sequence)
	if found && bytes.Equal(records[at].Digest, digest) {
		return Repeat, records[at]
	}
	if found {
		return Reused, records[at]
	}
	if at == 0 && len(records) >= t.o.Keep {
		return TooOld, nil
	}
	return Fresh, nil
}

// Add keeps the answer of a Fresh request and drops the operator's lowest number if it has too many.
func (t *Table) Add(r *wire.AnswerRecord) {
	records := t.operators[r.Operator]
	at, _ := search(records, r.Sequence)
	records = slices.Insert(records, at, r)
	if len(records) > t.o.Keep {
		records = slices.Delete(records, 0, 1)
	}
	t.operators[r.Operator] = records
}

// Records returns all answers, ordered by operator and sequence number.
func (t *Table) Records() []*wire.AnswerRecord {
	var all []*wire.AnswerRecord
	for _, operator := range slices.Sorted(maps.Keys(t.operators)) {
		all = append(all, t.operators[operator]...)
	}
	return all
}

// Restore replaces the table's content by what Records returned.
func (t *Table) Restore(records []*wire.AnswerRecord) {
	t.operators = map[string][]*wire.AnswerRecord{}
	for _, r := range records {
		t.operators[r.Operator] = append(t.operators[r.Operator], r)
	}
}

func search(records []*wire.AnswerRecord, sequence uint64) (int, bool) {
	return slices.BinarySearchFunc(records, sequence, func(r *wire.AnswerRecord, s uint64) int {
		return cmp.Compare(r.Sequence, s)
	})
}
