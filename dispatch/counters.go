package dispatch

import (
	"fmt"
	"time"

	"daisyswitch/wire"

	"github.com/VictoriaMetrics/metrics"
)

// counters are what the loop counts and times.
type counters struct {
	started    *metrics.Counter
	refused    *metrics.Counter
	unanswered *metrics.Counter
	stops      *metrics.Counter
	paces      *metrics.Counter
	lapses     *metrics.Counter
	ends       map[wire.RunOutcome]*metrics.Counter
	startCall  *metrics.Histogram
	round      *metrics.Histogram
	looks      *metrics.Counter // at what a worker offers to the tasks of a step
	commit     *metrics.Histogram
	set        *metrics.Set
	wait       *metrics.Histogram // from a workflow's acceptance to its first start
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set:        set,
		started:    set.NewCounter("daisyswitch_runs_started_total"),
		refused:    set.NewCounter("daisyswitch_starts_refused_total"),
		unanswered: set.NewCounter("daisyswitch_starts_unanswered_total"),
		stops:      set.NewCounter("daisyswitch_runs_stopped_total"),
		paces:      set.NewCounter("daisyswitch_runs_paced_total"),
		lapses:     set.NewCounter("daisyswitch_worker_leases_lapsed_total"),
		ends:       map[wire.RunOutcome]*metrics.Counter{},
		startCall:  set.NewHistogram("daisyswitch_start_call_seconds"),
		round:      set.NewHistogram("daisyswitch_place_round_seconds"),
		looks:      set.NewCounter("daisyswitch_place_looks_total"),
		commit:     set.NewHistogram("daisyswitch_workflow_commit_seconds"),
		wait:       set.NewHistogram("daisyswitch_workflow_first_start_seconds"),
	}
	for outcome, name := range wire.RunOutcome_name {
		c.ends[wire.RunOutcome(outcome)] = set.NewCounter(fmt.Sprintf("daisyswitch_runs_ended_total{outcome=%q}", name))
	}
	return c
}

// reach counts the workflows of a queue by how they ended and whether that was in time.
func (c *counters) reach(queue, state string, reached lateness) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("daisyswitch_workflows_ended_total{queue=%q,state=%q,reached=%q}", queue, state, reached))
}

// since times what began at a moment.
func since(h *metrics.Histogram, began time.Time) {
	h.Update(time.Since(began).Seconds())
}
