package pick

import "time"

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
	latencyWeight   = 0.1              // of the newest answer
	failuresToEject = 3                // in a row
	slowToEject     = 4.0              // times the median latency
	samplesToEject  = 20               // answers before latency counts
	ejectionBase    = time.Second      // doubled with each ejection in a row
	ejectionMost    = 16 * time.Second // longest ejection
	// MaxEjectedPercent bounds the share of upstreams that may be ejected at a time, so that a bad measure cannot empty the table.
	MaxEjectedPercent = 20
)

// Answered records an answer after the given latency.
func (h *Health) Answered(latency time.Duration) {
	h.Failures = 0
	h.Samples++
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
