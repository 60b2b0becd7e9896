package promise

import (
	"fmt"
	"path/filepath"
	"sort"

	"daisyswitch/standin"
)

// Records is all that was written down in one run.
type Records struct {
	Tasks      []standin.TaskEffect
	Requests   []standin.RequestEffect
	Told       []standin.Told
	Happenings []standin.Happening
}

// Read gathers the journals of a folder: worker-*.jsonl, upstream-*.jsonl, caller-*.jsonl and events*.jsonl, each in order of time.
func Read(folder string) (*Records, error) {
	r := &Records{}
	var err error
	if r.Tasks, err = gather[standin.TaskEffect](folder, "worker-*.jsonl"); err != nil {
		return nil, err
	}
	if r.Requests, err = gather[standin.RequestEffect](folder, "upstream-*.jsonl"); err != nil {
		return nil, err
	}
	if r.Told, err = gather[standin.Told](folder, "caller-*.jsonl"); err != nil {
		return nil, err
	}
	if r.Happenings, err = gather[standin.Happening](folder, "events*.jsonl"); err != nil {
		return nil, err
	}
	r.Sort()
	return r, nil
}

func gather[T any](folder, pattern string) ([]T, error) {
	files, err := filepath.Glob(filepath.Join(folder, pattern))
	if err != nil {
		return nil, fmt.Errorf("promise: %w", err)
	}
	var all []T
	for _, file := range files {
		records, err := standin.ReadJournal[T](file)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}

// Sort puts the records in order of time.
func (r *Records) Sort() {
	sort.SliceStable(r.Tasks, func(i, j int) bool { return r.Tasks[i].TimeUS < r.Tasks[j].TimeUS })
	sort.SliceStable(r.Requests, func(i, j int) bool { return r.Requests[i].TimeUS < r.Requests[j].TimeUS })
	sort.SliceStable(r.Told, func(i, j int) bool { return r.Told[i].SentUS < r.Told[j].SentUS })
	sort.SliceStable(r.Happenings, func(i, j int) bool { return r.Happenings[i].TimeUS < r.Happenings[j].TimeUS })
}

// named returns the happenings of a kind.
func (r *Records) named(kind string) []standin.Happening {
	var some []standin.Happening
	for _, h := range r.Happenings {
		if h.Kind == kind {
			some = append(some, h)
		}
	}
	return some
}

// first returns the time of the first happening of a kind with this name at or after a time, and whether there is one.
func (r *Records) first(kind, name string, after int64) (int64, bool) {
	for _, h := range r.Happenings {
		if h.Kind == kind && h.Name == name && h.TimeUS >= after {
			return h.TimeUS, true
		}
	}
	return 0, false
}

// ran counts the effects of each request id.
func (r *Records) ran() map[string]int {
	counts := map[string]int{}
	for _, e := range r.Requests {
		if e.Kind == standin.RequestRan {
			counts[e.RequestID]++
		}
	}
	return counts
}

// cutOff reports whether a process was cut off from the others or frozen, or had been until a moment before.
func (r *Records) cutOff(name string, at int64) bool {
	return r.away(standin.CutOff, standin.Joined, name, at) || r.away(standin.Frozen, standin.Thawed, name, at)
}

func (r *Records) away(from, to, name string, at int64) bool {
	for _, h := range r.named(from) {
		if h.Name != name || h.TimeUS > at {
			continue
		}
		back, isBack := r.first(to, name, h.TimeUS)
		if !isBack || at <= back+forceBoundUS {
			return true
		}
	}
	return false
}
