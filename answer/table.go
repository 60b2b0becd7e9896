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
	DefaultOperators = 1024 // operators
)

// Options sets the limits of a table. They must be equal on all replicas, since the table is part of the replicated state.
type Options struct {
	Keep      int // answers to keep per operator, those with the highest sequence numbers; 0 for DefaultKeep
	Operators int // operators to keep; 0 for DefaultOperators
}

// LookupResult is the result of looking up a request.
type LookupResult int

// Values of LookupResult.
const (
	Fresh            LookupResult = iota // not seen before; the request is executed
	Repeat                               // the same request again; it gets its first answer
	Reused                               // another request has used this operator and sequence number
	TooOld                               // below the range of sequence numbers that are kept; never executed
	TooManyOperators                     // the operator is unknown and the table already holds the maximum number of operators
)

// Table holds the answers of each operator in order of sequence number.
type Table struct {
	options   Options
	operators map[string][]*wire.AnswerRecord
}

// New returns an empty table.
func New(options Options) *Table {
	if options.Keep <= 0 {
		options.Keep = DefaultKeep
	}
	if options.Operators <= 0 {
		options.Operators = DefaultOperators
	}
	return &Table{options: options, operators: map[string][]*wire.AnswerRecord{}}
}

// Find looks up a request by operator and sequence number. For Repeat and Reused it also returns the record of the first answer.
func (t *Table) Find(operator string, sequence uint64, digest []byte) (LookupResult, *wire.AnswerRecord) {
	records, known := t.operators[operator]
	if !known && len(t.operators) >= t.options.Operators {
		return TooManyOperators, nil
	}
	at, found := search(records, sequence)
	if found && bytes.Equal(records[at].Digest, digest) {
		return Repeat, records[at]
	}
	if found {
		return Reused, records[at]
	}
	if at == 0 && len(records) >= t.options.Keep {
		return TooOld, nil
	}
	return Fresh, nil
}

// Add keeps the answer to a Fresh request, and drops the answer with the operator's lowest sequence number if there are too many.
func (t *Table) Add(r *wire.AnswerRecord) {
	records := t.operators[r.Operator]
	at, _ := search(records, r.Sequence)
	records = slices.Insert(records, at, r)
	if len(records) > t.options.Keep {
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

// Restore replaces the content of the table by records in the order in which Records returns them.
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
