package measure

import (
	"sort"
	"sync"
	"time"

	"daisyswitch/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	sampleWindow   = 10 * time.Second
	entryRetention = time.Hour
	p99            = 99
)

// Table holds the reports of entries over a sliding window.
type Table struct {
	mu          sync.Mutex
	lastReports map[string]*entryReport
}

type entryReport struct {
	domain     string
	version    uint64
	receivedAt time.Time
	samples    map[string][]sample // by class, oldest first
}

type sample struct {
	receivedAt time.Time
	requests   int64
	p99US      int64
	latencies  []byte
}

// Class summarizes the requests of one class over the window.
type Class struct {
	Requests int64
	P99US    int64 // 99th percentile latency of all requests, microseconds
}

// New returns an empty table.
func New() *Table {
	return &Table{lastReports: map[string]*entryReport{}}
}

// Heard records the samples and the state of an entry from a batch of reports.
func (t *Table) Heard(now time.Time, batch *wire.ReportBatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lastReports[batch.Entry]
	if e == nil {
		e = &entryReport{samples: map[string][]sample{}}
		t.lastReports[batch.Entry] = e
	}
	e.domain = batch.Domain
	e.version = batch.Version
	e.receivedAt = now
	for _, s := range batch.Samples {
		kept := withinWindow(e.samples[s.Class], now)
		e.samples[s.Class] = append(kept, sample{now, s.Requests, s.P99Us, s.Latencies})
	}
}

func withinWindow(samples []sample, now time.Time) []sample {
	for len(samples) > 0 && now.Sub(samples[0].receivedAt) > sampleWindow {
		samples = samples[1:]
	}
	return samples
}

// Class returns the summary of a class.
func (t *Table) Class(now time.Time, name string) Class {
	var total Class
	var all *hdrhistogram.Histogram
	for _, s := range t.samples(now, name) {
		total.Requests += s.requests
		latencies, err := hdrhistogram.Decode(s.latencies)
		switch {
		case err != nil: // without a histogram, the sample's own percentile can only raise the result
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

// samples returns the samples of a class in the window that contain requests.
func (t *Table) samples(now time.Time, name string) []sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []sample
	for _, e := range t.lastReports {
		for _, s := range withinWindow(e.samples[name], now) {
			if s.requests > 0 {
				all = append(all, s)
			}
		}
	}
	return all
}

// Entries returns every entry that reported in the last hour, in order of name.
func (t *Table) Entries(now time.Time) []*wire.EntryStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.EntryStatus
	for name, e := range t.lastReports {
		if now.Sub(e.receivedAt) > entryRetention {
			delete(t.lastReports, name)
			continue
		}
		out = append(out, &wire.EntryStatus{
			Name:     name,
			Domain:   e.domain,
			Version:  e.version,
			SilentMs: now.Sub(e.receivedAt).Milliseconds(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
