package audit

import (
	"sort"

	"daisyswitch/wire"
)

// DefaultKeep is how many records a trail keeps when Options names none.
const DefaultKeep = 10000

// Options bounds a trail; all replicas must have equal ones, since the trail is part of their state.
type Options struct {
	Keep int // records; 0 for DefaultKeep
}

// Trail holds the newest records in order of log index; records are never altered.
type Trail struct {
	keep    int
	records []*wire.AuditRecord
	folded  uint64
	last    *wire.AuditRecord
}

// New returns an empty trail.
func New(o Options) *Trail {
	if o.Keep <= 0 {
		o.Keep = DefaultKeep
	}
	return &Trail{keep: o.Keep}
}

// Add appends a record and folds the oldest away if there are too many.
func (t *Trail) Add(r *wire.AuditRecord) {
	if r.Outcome == wire.Outcome_OUTCOME_ACCEPTED && r.Operator != "" {
		t.last = r
	}
	t.records = append(t.records, r)
	if len(t.records) > t.keep {
		t.records = t.records[1:]
		t.folded++
	}
}

// Last returns the record of the last change that an operator made, nil if none did; announcements of domains are no such changes.
func (t *Trail) Last() *wire.AuditRecord {
	return t.last
}

// Folded returns how many of the oldest records are no longer kept.
func (t *Trail) Folded() uint64 {
	return t.folded
}

// After returns about limit records with a log index above after, oldest first; records of one index stay together.
func (t *Trail) After(after uint64, limit int) []*wire.AuditRecord {
	from := sort.Search(len(t.records), func(i int) bool { return t.records[i].Index > after })
	to := min(len(t.records), from+max(limit, 1))
	for to < len(t.records) && t.records[to].Index == t.records[to-1].Index {
		to++
	}
	return append([]*wire.AuditRecord(nil), t.records[from:to]...)
}

// Records returns all records that are kept, oldest first.
func (t *Trail) Records() []*wire.AuditRecord {
	return append([]*wire.AuditRecord(nil), t.records...)
}

// Restore replaces the trail's content by that of a snapshot.
func (t *Trail) Restore(records []*wire.AuditRecord, folded uint64, last *wire.AuditRecord) {
	t.records = append([]*wire.AuditRecord(nil), records...)
	t.folded = folded
	t.last = last
}
