package schedule

import (
	"maps"
	"sync"

	"daisyswitch/place"
	"daisyswitch/state"
)

// throttles holds the shares of processors taken from attempts; readers get a map that is never altered.
type throttles struct {
	mu    sync.Mutex
	taken map[state.Ref]int32
}

func (t *throttles) current() map[state.Ref]int32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.taken
}

func (t *throttles) decide(decisions []place.Throttle) {
	if len(decisions) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.copy()
	for _, d := range decisions {
		taken[state.Ref{Job: d.Job, Index: d.Index, Attempt: d.Attempt}] = d.Percent
	}
	t.taken = taken
}

// forget drops an attempt that has ended.
func (t *throttles) forget(job string, index int32, attempt uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ref := state.Ref{Job: job, Index: index, Attempt: attempt}
	if _, known := t.taken[ref]; !known {
		return
	}
	taken := t.copy()
	delete(taken, ref)
	t.taken = taken
}

func (t *throttles) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taken = nil
}

func (t *throttles) copy() map[state.Ref]int32 {
	taken := maps.Clone(t.taken)
	if taken == nil {
		taken = map[state.Ref]int32{}
	}
	return taken
}
