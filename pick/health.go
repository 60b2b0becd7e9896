package pick

import (
	"slices"
	"time"
)

// Health is the record of an upstream's latency and failures at one entry.
type Health struct {
	Latency      time.Duration // exponentially weighted mean of answers, 0 before the first
	Slowness     float64       // Latency relative to the median of all, at least 1
	Failures     int           // in a row
	Ejected      bool
	EjectedUntil time.Time
	Ejections    int // in a row, doubles the time out
	Samples      int // since the upstream came or came back
}

const (
	latencyWeight    = 0.1              // of the newest answer
	failuresToEject  = 3                // in a row
	slowToEject      = 4.0              // times the median latency
	samplesToEject   = 20               // answers before latency counts
	samplesToForgive = 200              // answers after which earlier ejections are forgotten
	ejectionBase     = time.Second      // doubled with each ejection in a row
	ejectionMost     = 16 * time.Second // longest ejection
	// MaxEjectedPercent bounds the share of upstreams that may be ejected at a time, so that a bad measure cannot empty the table.
	MaxEjectedPercent = 20
)

// Answered records an answer after the given latency.
func (h *Health) Answered(latency time.Duration) {
	h.Failures = 0
	h.Samples++
	if h.Samples > samplesToForgive {
		h.Ejections = 0
	}
	if h.Latency == 0 {
		h.Latency = latency
		return
	}
	h.Latency += time.Duration(latencyWeight * float64(latency-h.Latency))
}

// Failed records a request that got no answer.
func (h *Health) Failed() {
	h.Failures++
}

// Change tells of an upstream that was ejected or readmitted.
type Change struct {
	Index   int // of the candidate
	Ejected bool
}

// Assess compares the candidates' records, readmits those whose time is over, ejects failing and slow ones, and returns what changed.
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
	most := mostEjected(len(candidates))
	for i, c := range candidates {
		if ejected < most && c.outlier() {
			c.eject(now)
			ejected++
			changes = append(changes, Change{Index: i, Ejected: true})
		}
	}
	return changes
}

// mostEjected bounds how many of n may be ejected; of a few, one may always go.
func mostEjected(n int) int {
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
	return h.Failures >= failuresToEject || h.Samples >= samplesToEject && h.Slowness >= slowToEject
}

func (h *Health) eject(now time.Time) {
	h.Ejected = true
	h.EjectedUntil = now.Add(min(ejectionBase<<min(h.Ejections, 8), ejectionMost))
	h.Ejections++
}

// readmit lets the upstream prove itself again; one more failure ejects it at once.
func (h *Health) readmit(median time.Duration) {
	h.Ejected = false
	h.Samples = 0
	h.Latency = median
	h.Slowness = 1
	h.Failures = min(h.Failures, failuresToEject-1)
}
