package lease

import (
	"slices"
	"sync"
	"time"

	"daisyswitch/event"
	"daisyswitch/state"
	"daisyswitch/wire"
)

// Default values of Options.
const (
	DefaultLength   = 10 * time.Second
	DefaultDriftPPM = 1000
)

const (
	partsPerMillion = 1_000_000
	goneRetention   = 100 // lease lengths for which a worker that is gone is remembered
)

// Options holds the parameters of all leases.
type Options struct {
	Length   time.Duration // measured by the worker's clock from when it sent its report; 0 for DefaultLength
	DriftPPM int64         // maximum error of a clock's rate, parts per million; 0 for DefaultDriftPPM
}

// Table holds one lease per worker. Its mutex is locked before those of the placer and the state machine.
type Table struct {
	length    time.Duration
	maxLength time.Duration // longest duration of a lease by the leader's clock, with the slowest worker's clock

	mu           sync.Mutex
	leadingSince time.Time // zero before the first Lead
	workers      map[string]*workerState
}

// workerState is this leader's view of a worker.
type workerState struct {
	incarnation        string
	formerIncarnations []string  // incarnations that were replaced
	sequence           uint64    // of the last accepted report
	leaseEnd           time.Time // when its lease is known to have expired; zero if it has none
	notReported        bool      // has not reported to this leader
	lost               bool      // returned by Expired, or left; gets no lease until the state has recorded it as gone
	left               bool      // this incarnation reported that it leaves and runs nothing
	gone               bool      // the state has recorded it as gone
	attempts           map[state.Ref]*attempt
	indexedReport      *wire.WorkerReport // the report that is being answered
	reports            map[state.Ref]*wire.TaskReport
	lastReport         time.Time // when it last reported
	refusal            string    // of its last report, so that one cause is logged once
}

// attempt is the bookkeeping of a start order. Only for attempts that this leader committed is it known whether they were sent.
type attempt struct {
	inherited   bool   // may have been sent by an earlier leader
	sent        bool   // by this leader
	sequence    uint64 // of the last report answered with the start
	lastMissing uint64 // sequence of the last report from which it was missing
	withheld    bool   // its failure domain was out when it should have been sent
	notStarted  bool   // a NOT_STARTED event was issued, so its start is never sent again
}

// New returns an empty table, which grants no leases before Lead.
func New(o Options) *Table {
	if o.Length <= 0 {
		o.Length = DefaultLength
	}
	if o.DriftPPM <= 0 {
		o.DriftPPM = DefaultDriftPPM
	}
	return &Table{length: o.Length, maxLength: withDrift(o.Length, o.DriftPPM), workers: map[string]*workerState{}}
}

// withDrift returns the duration, by a clock that is fast by ppm, of d measured by a clock that is slow by ppm, rounded up.
func withDrift(d time.Duration, ppm int64) time.Duration {
	slow := time.Duration(partsPerMillion - ppm)
	fast := time.Duration(partsPerMillion + ppm)
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return (ms*fast/slow + 1) * time.Millisecond
}

// Lead starts a term of leadership and discards the state of earlier terms. Leases granted by other leaders are assumed to last a full lease from now.
func (t *Table) Lead(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leadingSince = now
	t.workers = map[string]*workerState{}
}

// SetWorker applies the state's record of a worker, so that the lease of a worker that never reports expires too.
func (t *Table) SetWorker(r *wire.WorkerRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers[r.Name]
	if w == nil {
		w = t.add(r.Name, r)
	}
	if !r.Gone {
		w.gone = false
		if w.notReported {
			w.incarnation = r.Incarnation
			w.leaseEnd = t.leadingSince.Add(t.maxLength)
		}
		return
	}
	// In all other cases the worker has returned since this record was made.
	if w.notReported || w.lost {
		w.gone = true
		w.leaseEnd = time.Time{}
	}
}

// add adds a worker. Unless the state records it as gone, a lease from an earlier leader may still be valid.
func (t *Table) add(name string, record *wire.WorkerRecord) *workerState {
	w := &workerState{notReported: true, attempts: map[state.Ref]*attempt{}}
	t.workers[name] = w
	if record == nil {
		return w
	}
	w.incarnation = record.Incarnation
	w.gone = record.Gone
	if !w.gone {
		w.leaseEnd = t.leadingSince.Add(t.maxLength)
	}
	return w
}

// Expired returns the workers whose lease is known to have expired, in order of name, until the state has recorded them as gone.
func (t *Table) Expired(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	if t.leadingSince.IsZero() {
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
		if w.gone && now.After(w.lastReport.Add(goneRetention*t.maxLength)) {
			delete(t.workers, name)
		}
	}
	slices.Sort(names)
	return names
}

// expired reports whether the worker had a lease and it has expired.
func (w *workerState) expired(now time.Time) bool {
	return !w.gone && !w.leaseEnd.IsZero() && now.After(w.leaseEnd)
}

// Gone returns the record that marks a worker as gone and ends all attempts on it.
func Gone(r *wire.WorkerRecord) *wire.WorkerRecord {
	return &wire.WorkerRecord{
		Name: r.Name, Domain: r.Domain, Rack: r.Rack, Incarnation: r.Incarnation, Capacity: r.Capacity, Gone: true,
	}
}
