package measure

import (
	"sort"
	"sync"
	"time"

	"daisyswitch/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	sampleWindow = 10 * time.Second
	forgetEntry  = time.Hour
	p99          = 99
)

// Table keeps what entries have said over a window.
type Table struct {
	mu      sync.Mutex
	entries map[string]*entryHeard
}

type entryHeard struct {
	domain  string
	version uint64
	at      time.Time
	samples map[string][]sample // by class, oldest first
}

type sample struct {
	at        time.Time
	requests  int64
	p99US     int64
	latencies []byte
}

// Class is what callers of one class saw over the window.
type Class struct {
	Requests int64
	P99US    int64 // tail over all requests, microseconds
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: map[string]*entryHeard{}}
}

// Heard takes in what an entry says with a batch of reports.
func (t *Table) Heard(now time.Time, batch *wire.ReportBatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[batch.Entry]
	if e == nil {
		e = &entryHeard{samples: map[string][]sample{}}
		t.entries[batch.Entry] = e
	}
	e.domain = batch.Domain
	e.version = batch.Version
	e.at = now
	for _, s := range batch.Samples {
		kept := recent(e.samples[s.Class], now)
		e.samples[s.Class] = append(kept, sample{now, s.Requests, s.P99Us, s.Latencies})
	}
}

func recent(samples []sample, now time.Time) []sample {
	for len(samples) > 0 && now.Sub(samples[0].at) > sampleWindow {
		samples = samples[1:]
	}
	return samples
}

// Class returns what callers of a class saw.
func (t *Table) Class(now time.Time, name string) Class {
	var total Class
	var all *hdrhistogram.Histogram
	for _, s := range t.samples(now, name) {
		total.Requests += s.requests
		latencies, err := hdrhistogram.Decode(s.latencies)
		switch {
		case err != nil: // a sample without latencies can only raise the tail
			total.P99US = max(total.P99US, s.p99US)
		case all == nil:
			all = latencies
		default:
			all.Merge(latencies)
		}
	}
	if all != nil {
		total.P99US = max(total.P99US, all.ValueAtPercentile(p99))
	}
	return total
}

// samples returns the window's samples of a class that measured anything.
func (t *Table) samples(now time.Time, name string) []sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []sample
	for _, e := range t.entries {
		for _, s := range recent(e.samples[name], now) {
			if s.requests > 0 {
				all = append(all, s)
			}
		}
	}
	return all
}

// Entries returns every entry heard in the last hour, in order of name.
func (t *Table) Entries(now time.Time) []*wire.EntryStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.EntryStatus
	for name, e := range t.entries {
		if now.Sub(e.at) > forgetEntry {
			delete(t.entries, name)
			continue
		}
		out = append(out, &wire.EntryStatus{
			Name:     name,
			Domain:   e.domain,
			Version:  e.version,
			SilentMs: now.Sub(e.at).Milliseconds(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
