package promise

import (
	"fmt"
	"path/filepath"
	"sort"

	"daisyswitch/standin"
)

// Records holds all journal records of one run.
type Records struct {
	Tasks     []standin.TaskEffect
	Requests  []standin.RequestEffect
	Told      []standin.Told
	RunEvents []standin.RunEvent
}

// Read reads the journals of a folder (worker-*.jsonl, upstream-*.jsonl, caller-*.jsonl and events*.jsonl) and sorts the records of each kind by time.
func Read(folder string) (*Records, error) {
	r := &Records{}
	var err error
	if r.Tasks, err = readJournals[standin.TaskEffect](folder, "worker-*.jsonl"); err != nil {
		return nil, err
	}
	if r.Requests, err = readJournals[standin.RequestEffect](folder, "upstream-*.jsonl"); err != nil {
		return nil, err
	}
	if r.Told, err = readJournals[standin.Told](folder, "caller-*.jsonl"); err != nil {
		return nil, err
	}
	if r.RunEvents, err = readJournals[standin.RunEvent](folder, "events*.jsonl"); err != nil {
		return nil, err
	}
	r.Sort()
	return r, nil
}

func readJournals[T any](folder, pattern string) ([]T, error) {
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

// Sort sorts the records of each kind by time.
func (r *Records) Sort() {
	sort.SliceStable(r.Tasks, func(i, j int) bool { return r.Tasks[i].TimeUS < r.Tasks[j].TimeUS })
	sort.SliceStable(r.Requests, func(i, j int) bool { return r.Requests[i].TimeUS < r.Requests[j].TimeUS })
	sort.SliceStable(r.Told, func(i, j int) bool { return r.Told[i].SentUS < r.Told[j].SentUS })
	sort.SliceStable(r.RunEvents, func(i, j int) bool { return r.RunEvents[i].TimeUS < r.RunEvents[j].TimeUS })
}

// eventsOfKind returns the run's events of a kind.
func (r *Records) eventsOfKind(kind string) []standin.RunEvent {
	var some []standin.RunEvent
	for _, h := range r.RunEvents {
		if h.Kind == kind {
			some = append(some, h)
		}
	}
	return some
}

// firstEvent returns the time of the first event of a kind with this name at or after a time, and whether there is one.
func (r *Records) firstEvent(kind, name string, after int64) (int64, bool) {
	for _, h := range r.RunEvents {
		if h.Kind == kind && h.Name == name && h.TimeUS >= after {
			return h.TimeUS, true
		}
	}
	return 0, false
}

// ran returns the number of executions by request id.
func (r *Records) ran() map[string]int {
	counts := map[string]int{}
	for _, e := range r.Requests {
		if e.Kind == standin.RequestRan {
			counts[e.RequestID]++
		}
	}
	return counts
}

// cutOff reports whether a process was partitioned or frozen at a time, or within forceBoundUS before it.
func (r *Records) cutOff(name string, at int64) bool {
	return r.interruptedAt(standin.CutOff, standin.Joined, name, at) || r.interruptedAt(standin.Frozen, standin.Thawed, name, at)
}

func (r *Records) interruptedAt(from, to, name string, at int64) bool {
	for _, h := range r.eventsOfKind(from) {
		if h.Name != name || h.TimeUS > at {
			continue
		}
		back, isBack := r.firstEvent(to, name, h.TimeUS)
		if !isBack || at <= back+forceBoundUS {
			return true
		}
	}
	return false
}
