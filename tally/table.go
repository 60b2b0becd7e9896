package tally

import (
	"maps"
	"slices"

	"daisyswitch/wire"
)

const msPerDay = 24 * 60 * 60 * 1000

// Table holds the task counts of each class.
type Table struct {
	classes map[string]*wire.Tally
}

// New returns a table without counts.
func New() *Table {
	return &Table{classes: map[string]*wire.Tally{}}
}

// ClassCounts returns the counts of a class for the caller to modify. It resets the daily count when ms, a time in Unix milliseconds, is on a later UTC day.
func (t *Table) ClassCounts(class string, ms int64) *wire.Tally {
	c := t.classes[class]
	if c == nil {
		c = &wire.Tally{Class: class}
		t.classes[class] = c
	}
	if day := ms / msPerDay; day > c.Day {
		c.Day = day
		c.DoneToday = 0
	}
	return c
}

// Count adds a task that ended in state s.
func (t *Table) Count(class string, ms int64, s wire.TaskState) {
	switch s {
	case wire.TaskState_TASK_STATE_DONE:
		c := t.ClassCounts(class, ms)
		c.Done++
		c.DoneToday++
	case wire.TaskState_TASK_STATE_FAILED:
		t.ClassCounts(class, ms).Failed++
	}
}

// DeleteUnknown removes the counts of classes for which exists returns false.
func (t *Table) DeleteUnknown(exists func(class string) bool) {
	maps.DeleteFunc(t.classes, func(class string, _ *wire.Tally) bool { return !exists(class) })
}

// Records returns copies of the counts, sorted by class.
func (t *Table) Records() []*wire.Tally {
	var all []*wire.Tally
	for _, class := range slices.Sorted(maps.Keys(t.classes)) {
		all = append(all, clone(t.classes[class]))
	}
	return all
}

// Restore replaces the counts by those of a snapshot.
func (t *Table) Restore(records []*wire.Tally) {
	t.classes = map[string]*wire.Tally{}
	for _, r := range records {
		t.classes[r.Class] = clone(r)
	}
}

func clone(c *wire.Tally) *wire.Tally {
	return &wire.Tally{
		Class: c.Class, Done: c.Done, Failed: c.Failed, Evicted: c.Evicted, Day: c.Day, DoneToday: c.DoneToday,
	}
}
