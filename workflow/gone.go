package workflow

import (
	"cmp"
	"maps"
	"slices"

	"daisyswitch/wire"
)

// maxGoneWorkers bounds the ended incarnations that are remembered, so that a late announcement cannot revive them and a later incarnation has a higher fencing token.
const maxGoneWorkers = 20_000

// markGone records the end of a worker's incarnation.
func (t *Tables) markGone(w *wire.CalledWorker, last *Worker) {
	if last != nil {
		t.removeWorker(last)
	}
	if len(t.gone) >= maxGoneWorkers {
		t.forgetGone()
	}
	gone := &wire.CalledWorker{Id: w.GetId(), Born: w.GetBorn(), Gone: true, Restarts: w.GetRestarts(), EndNumber: t.gone[w.GetId()].GetEndNumber()}
	if t.forgetsOldest {
		t.lastEnded++
		gone.EndNumber = t.lastEnded
	}
	t.gone[w.GetId()] = gone
}

// forgetGone forgets the half of the ended incarnations that ended first. Orders for them are no longer in flight, so that later incarnations may be counted from 0 again.
func (t *Tables) forgetGone() {
	if !t.forgetsOldest {
		t.gone, t.lastEnded = map[string]*wire.CalledWorker{}, 0
		return
	}
	oldestFirst := slices.SortedFunc(maps.Values(t.gone), func(a, b *wire.CalledWorker) int {
		return cmp.Or(cmp.Compare(a.GetEndNumber(), b.GetEndNumber()), cmp.Compare(a.GetId(), b.GetId()))
	})
	for _, w := range oldestFirst[:len(oldestFirst)/2] {
		delete(t.gone, w.GetId())
	}
}

// restoreGone restores an ended incarnation from a snapshot.
func (t *Tables) restoreGone(w *wire.CalledWorker) {
	t.gone[w.GetId()] = w
	t.lastEnded = max(t.lastEnded, w.GetEndNumber())
}
