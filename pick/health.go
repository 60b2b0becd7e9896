package pick

import (
	"slices"
	"time"
)

// Health records an upstream's latency and failures as seen by one entry.
type Health struct {
	Latency      time.Duration // exponentially weighted moving average, 0 before the first response
	Slowness     float64       // Latency relative to the median of all upstreams, at least 1
	Failures     int           // consecutive
	Ejected      bool
	EjectedUntil time.Time
	Ejections    int // consecutive; each doubles the time ejected
	Samples      int // responses since the upstream was added or readmitted
}

const (
	latencyWeight           = 0.1              // weight of the newest sample
	failuresToEject         = 3                // consecutive
	slownessToEject         = 4.0              // multiple of the median latency
	samplesToEject          = 20               // responses before latency is considered
	samplesToResetEjections = 200              // responses after which earlier ejections no longer count
	baseEjection            = time.Second      // doubled with each consecutive ejection
	maxEjection             = 16 * time.Second // longest ejection
	// MaxEjectedPercent bounds the percentage of upstreams that may be ejected at a time, so that a misleading measurement cannot eject all of them.
	MaxEjectedPercent = 20
)

// RecordResponse records a response with its latency.
func (h *Health) RecordResponse(latency time.Duration) {
	h.Failures = 0
	h.Samples++
	if h.Samples > samplesToResetEjections {
		h.Ejections = 0
	}
	if h.Latency == 0 {
		h.Latency = latency
		return
	}
	h.Latency += time.Duration(latencyWeight * float64(latency-h.Latency))
}

// RecordFailure records a request without a response.
func (h *Health) RecordFailure() {
	h.Failures++
}

// Change describes an upstream that was ejected or readmitted.
type Change struct {
	Index   int // index of the candidate
	Ejected bool
}

// Assess compares the candidates' health, readmits those whose ejection has expired, ejects failing and slow ones, and returns the changes.
func Assess(now time.Time, candidates []*Candidate) []Change {
	var changes []Change
	median := medianLatency(candidates)
	ejected := 0
	for i, c := range candidates {
		c.Slowness = slowness(c.Latency, median)
		if c.Ejected && !now.Before(c.EjectedUntil) {
			c.readmit(median)
			changes = append(changes, Change{Index: i})
		}
		if c.Ejected {
			ejected++
		}
	}
	most := maxEjected(len(candidates))
	for i, c := range candidates {
		if ejected < most && c.outlier() {
			c.eject(now)
			ejected++
			changes = append(changes, Change{Index: i, Ejected: true})
		}
	}
	return changes
}

// maxEjected returns how many of n upstreams may be ejected: MaxEjectedPercent, but at least one of three or more.
func maxEjected(n int) int {
	if n < 3 {
		return 0
	}
	return max(1, n*MaxEjectedPercent/100)
}

func medianLatency(candidates []*Candidate) time.Duration {
	var known []time.Duration
	for _, c := range candidates {
		if c.Samples >= samplesToEject && !c.Ejected {
			known = append(known, c.Latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

func slowness(latency, median time.Duration) float64 {
	if median <= 0 || latency <= median {
		return 1
	}
	return float64(latency) / float64(median)
}

func (h *Health) outlier() bool {
	if h.Ejected {
		return false
	}
	return h.Failures >= failuresToEject || h.Samples >= samplesToEject && h.Slowness >= slownessToEject
}

func (h *Health) eject(now time.Time) {
	h.Ejected = true
	h.EjectedUntil = now.Add(min(baseEjection<<min(h.Ejections, 8), maxEjection))
	h.Ejections++
}

// readmit returns the upstream to service with fresh latency samples. If it was ejected for failures, one more ejects it at once.
func (h *Health) readmit(median time.Duration) {
	h.Ejected = false
	h.Samples = 0
	h.Latency = median
	h.Slowness = 1
	h.Failures = min(h.Failures, failuresToEject-1)
}
