package audit

import (
	"sort"

	"daisyswitch/wire"
)

// DefaultKeep is the number of records that a trail keeps if Options sets none.
const DefaultKeep = 10000

// Options sets the limits of a trail. They must be equal on all replicas, since the trail is part of the replicated state.
type Options struct {
	Keep int // records to keep; 0 for DefaultKeep
}

// Trail holds the newest records in order of log index. Records are never modified.
type Trail struct {
	keep    int
	records []*wire.AuditRecord
	dropped uint64
	last    *wire.AuditRecord
}

// New returns an empty trail.
func New(o Options) *Trail {
	if o.Keep <= 0 {
		o.Keep = DefaultKeep
	}
	return &Trail{keep: o.Keep}
}

// Add appends a record and drops the oldest one if there are too many.
func (t *Trail) Add(r *wire.AuditRecord) {
	if r.Outcome == wire.Outcome_OUTCOME_ACCEPTED && r.Operator != "" {
		t.last = r
	}
	t.records = append(t.records, r)
	if len(t.records) > t.keep {
		t.records = t.records[1:]
		t.dropped++
	}
}

// Last returns the record of the last accepted change by an operator, nil if there is none.
// The addition of an announced failure domain is not an operator's change.
func (t *Trail) Last() *wire.AuditRecord {
	return t.last
}

// Folded returns how many of the oldest records have been dropped.
func (t *Trail) Folded() uint64 {
	return t.dropped
}

// After returns records with a log index above after, oldest first.
// It returns more than limit records if the last ones have the same index.
func (t *Trail) After(after uint64, limit int) []*wire.AuditRecord {
	from := sort.Search(len(t.records), func(i int) bool { return t.records[i].Index > after })
	to := min(len(t.records), from+max(limit, 1))
	for to < len(t.records) && t.records[to].Index == t.records[to-1].Index {
		to++
	}
	return append([]*wire.AuditRecord(nil), t.records[from:to]...)
}

// Records returns all records in the trail, oldest first.
func (t *Trail) Records() []*wire.AuditRecord {
	return append([]*wire.AuditRecord(nil), t.records...)
}

// Restore replaces the content of the trail by that of a snapshot.
func (t *Trail) Restore(records []*wire.AuditRecord, dropped uint64, last *wire.AuditRecord) {
	t.records = append([]*wire.AuditRecord(nil), records...)
	t.dropped = dropped
	t.last = last
}
