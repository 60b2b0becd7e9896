package control

import (
	"fmt"

	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"

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

	refusedCallers map[wire.WorkflowAnswer]*metrics.Counter // by answer
	withoutMemory  *metrics.Counter                         // workflows refused for want of memory
}

// refusalCauses names the answers that refuse a caller for its key.
var refusalCauses = map[wire.WorkflowAnswer]string{
	wire.WorkflowAnswer_WORKFLOW_ANSWER_UNKNOWN_KEY:     "unknown_key",
	wire.WorkflowAnswer_WORKFLOW_ANSWER_OTHER_WORKSPACE: "other_workspace",
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
	set.NewGauge("daisyswitch_workflows_held_bytes", func() float64 {
		held := int64(0)
		c.workflows.View(func(t *workflow.Tables) { held = t.Held() })
		return float64(held)
	})
	refusedCallers := map[wire.WorkflowAnswer]*metrics.Counter{}
	for answer, cause := range refusalCauses {
		refusedCallers[answer] = set.NewCounter(fmt.Sprintf("daisyswitch_callers_refused_total{cause=%q}", cause))
	}
	return &counters{
		set:     set,
		reports: set.NewCounter("daisyswitch_control_reports_total"),
		starts:  set.NewCounter("daisyswitch_control_starts_total"),
		events:  set.NewCounter("daisyswitch_control_task_events_total"),
		refused: set.NewCounter("daisyswitch_control_reports_refused_total"),
		decide:  set.NewHistogram("daisyswitch_control_decide_seconds"),

		refusedCallers:         refusedCallers,
		withoutMemory:          set.NewCounter("daisyswitch_workflows_without_memory_total"),
		announcementsHere:      set.NewCounter("daisyswitch_announcements_acknowledged_here_total"),
		announcementsForwarded: set.NewCounter("daisyswitch_announcements_forwarded_total"),
	}
}

// countRefusal logs and counts a request that is refused for its key.
func (c *Control) countRefusal(request *wire.WorkflowRequest, reply *wire.WorkflowReply) {
	counter := c.counters.refusedCallers[reply.GetAnswer()]
	if counter == nil {
		return
	}
	counter.Inc()
	event.CallerRefused.Info("cause", refusalCauses[reply.GetAnswer()], "request", request.GetKind().String(), "host", request.GetHost(), "path", request.GetPath(), "key_given", request.GetKey() != "")
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
