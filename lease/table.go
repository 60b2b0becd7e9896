package lease

import (
	"slices"
	"sync"
	"time"

	"daisyswitch/event"
	"daisyswitch/state"
	"daisyswitch/wire"
)

// Defaults of Options.
const (
	DefaultLength   = 10 * time.Second
	DefaultDriftPPM = 1000
)

const (
	partsPerMillion = 1_000_000
	keepGone        = 100 // leases for which a worker that is gone is remembered
)

// Options is the terms of all leases.
type Options struct {
	Length   time.Duration // as the worker counts it, from when it sent its report; 0 for DefaultLength
	DriftPPM int64         // bound on how far a clock's rate is off, parts per million; 0 for DefaultDriftPPM
}

// Table holds one lease per worker; its mutex is taken before those of the placer and the state machine.
type Table struct {
	length time.Duration
	span   time.Duration // the length as the slowest worker's clock makes it look from here

	mu      sync.Mutex
	leading time.Time // zero before the first Lead
	workers map[string]*holder
}

// holder is a worker as this leader knows it.
type holder struct {
	incarnation string
	former      []string  // incarnations that were replaced
	sequence    uint64    // of the last report taken
	end         time.Time // when its lease has surely ended; zero if it has none
	fresh       bool      // has not reported to this leader
	lost        bool      // Expired named it, or it left: no lease until the state has recorded it
	left        bool      // this incarnation said that it leaves and runs nothing
	gone        bool      // the state has recorded it as gone
	attempts    map[state.Ref]*attempt
	indexed     *wire.WorkerReport // the report that is being answered
	reports     map[state.Ref]*wire.TaskReport
	heard       time.Time // when it last reported
	refusal     string    // of its last report, so that one cause is logged once
}

// attempt is what is known of a start order; only of attempts that this leader committed is it known that they were not sent.
type attempt struct {
	inherited bool   // may have been sent by an earlier leader
	sent      bool   // by this leader
	sequence  uint64 // of the last report that a start answered
	touched   uint64 // sequence of the last report that missed it
	withheld  bool   // its failure domain was out when it should have been sent
	condemned bool   // NOT_STARTED was told, so that it is never sent again
}

// New returns an empty table that leads nothing.
func New(o Options) *Table {
	if o.Length <= 0 {
		o.Length = DefaultLength
	}
	if o.DriftPPM <= 0 {
		o.DriftPPM = DefaultDriftPPM
	}
	return &Table{length: o.Length, span: stretch(o.Length, o.DriftPPM), workers: map[string]*holder{}}
}

// stretch returns how long d on a clock that is slow by ppm lasts on one that is fast by ppm, rounded up.
func stretch(d time.Duration, ppm int64) time.Duration {
	slow := time.Duration(partsPerMillion - ppm)
	fast := time.Duration(partsPerMillion + ppm)
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return (ms*fast/slow + 1) * time.Millisecond
}

// Lead begins a leadership and forgets what an earlier one knew; whatever another leader granted is taken to last a full lease from now.
func (t *Table) Lead(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leading = now
	t.workers = map[string]*holder{}
}

// SetWorker tells what the state has recorded of a worker, so that one that never reports expires too.
func (t *Table) SetWorker(r *wire.WorkerRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers[r.Name]
	if w == nil {
		w = t.add(r.Name, r)
	}
	if !r.Gone {
		w.gone = false
		if w.fresh {
			w.incarnation = r.Incarnation
			w.end = t.leading.Add(t.span)
		}
		return
	}
	// Otherwise the record is older than the worker's return.
	if w.fresh || w.lost {
		w.gone = true
		w.end = time.Time{}
	}
}

// add makes a worker known; a lease of an earlier leader may still run unless the state says that it is gone.
func (t *Table) add(name string, record *wire.WorkerRecord) *holder {
	w := &holder{fresh: true, attempts: map[state.Ref]*attempt{}}
	t.workers[name] = w
	if record == nil {
		return w
	}
	w.incarnation = record.Incarnation
	w.gone = record.Gone
	if !w.gone {
		w.end = t.leading.Add(t.span)
	}
	return w
}

// Expired returns the workers whose lease has surely ended, in order of name, until the state has recorded them as gone.
func (t *Table) Expired(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	if t.leading.IsZero() {
		return nil
	}
	for name, w := range t.workers {
		if !w.lost && w.expired(now) {
			w.lost = true
			event.WorkerLost.Info("worker", name, "incarnation", w.incarnation)
		}
		if w.lost && !w.gone {
			names = append(names, name)
		}
		if w.gone && now.After(w.heard.Add(keepGone*t.span)) {
			delete(t.workers, name)
		}
	}
	slices.Sort(names)
	return names
}

// expired reports whether a worker that had a lease has it no more.
func (w *holder) expired(now time.Time) bool {
	return !w.gone && !w.end.IsZero() && now.After(w.end)
}

// Gone returns the record that ends a worker and every attempt on it.
func Gone(r *wire.WorkerRecord) *wire.WorkerRecord {
	return &wire.WorkerRecord{
		Name: r.Name, Domain: r.Domain, Rack: r.Rack, Incarnation: r.Incarnation, Capacity: r.Capacity, Gone: true,
	}
}
