package schedule

import (
	"maps"
	"sync"

	"daisyswitch/place"
	"daisyswitch/state"
)

// throttles holds the throttle percentage of each attempt. The map is copied on write, so that readers may keep it.
type throttles struct {
	mu       sync.Mutex
	percents map[state.Ref]int32
}

func (t *throttles) current() map[state.Ref]int32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.percents
}

func (t *throttles) apply(decisions []place.Throttle) {
	if len(decisions) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	percents := t.copy()
	for _, d := range decisions {
		percents[state.Ref{Job: d.Job, Index: d.Index, Attempt: d.Attempt}] = d.Percent
	}
	t.percents = percents
}

// remove drops the throttle of an attempt that has ended.
func (t *throttles) remove(job string, index int32, attempt uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ref := state.Ref{Job: job, Index: index, Attempt: attempt}
	if _, known := t.percents[ref]; !known {
		return
	}
	percents := t.copy()
	delete(percents, ref)
	t.percents = percents
}

func (t *throttles) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.percents = nil
}

func (t *throttles) copy() map[state.Ref]int32 {
	percents := maps.Clone(t.percents)
	if percents == nil {
		percents = map[state.Ref]int32{}
	}
	return percents
}
