package entry

import (
	"github.com/VictoriaMetrics/metrics"
)

func (e *Entry) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge("daisyswitch_configuration_version", func() float64 { return float64(e.holder.Version()) })
	set.NewGauge("daisyswitch_entry_neighbors_heard", func() float64 { return float64(e.exchange.Alive()) })
	set.NewGauge("daisyswitch_entry_upstreams", func() float64 { return float64(len(e.upstreams.Loads())) })
	return set
}

// Metrics returns the metrics of the process, which its admin listener serves.
func (e *Entry) Metrics() *metrics.Set {
	return e.metrics
}
