package caller

import (
	"fmt"

	"daisyswitch/refusal"

	"github.com/VictoriaMetrics/metrics"
)

// countRefusal increments the counter of refusals with the code.
func countRefusal(code refusal.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisyswitch_refusals_total{code=%q}`, code)).Inc()
}

// registerGauges exports the queue length and the upstreams by state. With several fronts in a process, the gauges show the first one.
func (f *Front) registerGauges() {
	metrics.GetOrCreateGauge(`daisyswitch_queue_waiting`, func() float64 { return float64(f.queue.Waiting()) })
	gauges := map[string]func() int{
		"usable":  func() int { return f.registry.Counts().Usable },
		"ejected": func() int { return f.registry.Counts().Ejected },
		"out":     func() int { return f.registry.Counts().Out },
		"leaving": func() int { return f.registry.Counts().Leaving },
	}
	for state, value := range gauges {
		metrics.GetOrCreateGauge(fmt.Sprintf(`daisyswitch_upstreams{state=%q}`, state), func() float64 { return float64(value()) })
	}
	metrics.GetOrCreateGauge(`daisyswitch_upstream_connections`, func() float64 { return float64(f.registry.Counts().Connections) })
}
