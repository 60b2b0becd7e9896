package control

import (
	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics of the control process.
type counters struct {
	set     *metrics.Set
	reports *metrics.Counter
	starts  *metrics.Counter
	events  *metrics.Counter
	refused *metrics.Counter
	decide  *metrics.Histogram

	announcementsHere      *metrics.Counter // recorded already, acknowledged by a replica that does not lead
	announcementsForwarded *metrics.Counter
}

func (c *Control) newCounters() *counters {
	set := metrics.NewSet()
	set.NewGauge("daisyswitch_control_leads", func() float64 {
		if c.isServingLeader() {
			return 1
		}
		return 0
	})
	set.NewGauge("daisyswitch_control_disk_full", func() float64 {
		if c.replica.Info().DiskFull {
			return 1
		}
		return 0
	})
	set.NewGauge("daisyswitch_control_term", func() float64 { return float64(c.replica.Info().Term) })
	set.NewGauge("daisyswitch_control_commit_index", func() float64 { return float64(c.replica.Info().Commit) })
	set.NewGauge("daisyswitch_control_applied_index", func() float64 { return float64(c.replica.Info().Applied) })
	set.NewGauge("daisyswitch_configuration_version", func() float64 { return float64(c.machine.Configuration().GetVersion()) })
	return &counters{
		set:     set,
		reports: set.NewCounter("daisyswitch_control_reports_total"),
		starts:  set.NewCounter("daisyswitch_control_starts_total"),
		events:  set.NewCounter("daisyswitch_control_task_events_total"),
		refused: set.NewCounter("daisyswitch_control_reports_refused_total"),
		decide:  set.NewHistogram("daisyswitch_control_decide_seconds"),

		announcementsHere:      set.NewCounter("daisyswitch_announcements_acknowledged_here_total"),
		announcementsForwarded: set.NewCounter("daisyswitch_announcements_forwarded_total"),
	}
}

// Metrics returns the metrics of the process, which its admin listener serves.
func (c *Control) Metrics() *metrics.Set {
	return c.counters.set
}

// Live returns why the process should be replaced, nil if it should not.
func (c *Control) Live() error {
	return c.replica.Info().Err
}

func (c *counters) countApplied(starts, events int) {
	c.starts.Add(starts)
	c.events.Add(events)
}
