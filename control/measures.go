package control

import (
	"sort"
	"sync"
	"time"

	"daisyswitch/wire"
)

const (
	sampleWindow = 10 * time.Second
	forgetEntry  = time.Hour
)

// measures keeps what entries have said lately; all of it may be lost with the leader.
type measures struct {
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
	at       time.Time
	requests int64
	p99US    int64
}

// classMeasure is what callers of one class saw over the window.
type classMeasure struct {
	requests int64
	p99US    int64 // the worst of the entries' tails, so never below the tail over all
}

func newMeasures() *measures {
	return &measures{entries: map[string]*entryHeard{}}
}

func (m *measures) heard(now time.Time, batch *wire.ReportBatch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[batch.Entry]
	if e == nil {
		e = &entryHeard{samples: map[string][]sample{}}
		m.entries[batch.Entry] = e
	}
	e.domain = batch.Domain
	e.version = batch.Version
	e.at = now
	for _, s := range batch.Samples {
		kept := recent(e.samples[s.Class], now)
		e.samples[s.Class] = append(kept, sample{now, s.Requests, s.P99Us})
	}
}

func recent(samples []sample, now time.Time) []sample {
	for len(samples) > 0 && now.Sub(samples[0].at) > sampleWindow {
		samples = samples[1:]
	}
	return samples
}

func (m *measures) class(now time.Time, name string) classMeasure {
	m.mu.Lock()
	defer m.mu.Unlock()
	var total classMeasure
	for _, e := range m.entries {
		for _, s := range recent(e.samples[name], now) {
			total.requests += s.requests
			if s.requests > 0 {
				total.p99US = max(total.p99US, s.p99US)
			}
		}
	}
	return total
}

func (m *measures) entryStatuses(now time.Time) []*wire.EntryStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*wire.EntryStatus
	for name, e := range m.entries {
		if now.Sub(e.at) > forgetEntry {
			delete(m.entries, name)
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
