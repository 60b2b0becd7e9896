package dispatch

import (
	"fmt"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics of the loop.
type counters struct {
	started          *metrics.Counter
	startsRefused    *metrics.Counter
	startsUnanswered *metrics.Counter
	stopsBegun       *metrics.Counter
	paceCalls        *metrics.Counter
	leaseLapses      map[leaseOrigin]*metrics.Counter
	formerOrders     *metrics.Counter // starts that a later incarnation of their worker executed
	runEnds          map[wire.RunOutcome]*metrics.Counter
	acksDeferred     *metrics.Counter // ends that are acknowledged late, as a start of their task may still be executed
	startCall        *metrics.Histogram
	round            *metrics.Histogram
	offerLooks       *metrics.Counter // computed offers of a worker to the tasks of a step
	commitTime       *metrics.Histogram
	set              *metrics.Set
	smallStartWait   *metrics.Histogram // from a workflow's acceptance to the placement of a task of its first steps that is not large
	largeStartWait   *metrics.Histogram // the same for large tasks
	reservationsMade *metrics.Counter
	firstStartWait   *metrics.Histogram // from a workflow's acceptance to its first placement
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set:              set,
		started:          set.NewCounter("daisyswitch_runs_started_total"),
		startsRefused:    set.NewCounter("daisyswitch_starts_refused_total"),
		startsUnanswered: set.NewCounter("daisyswitch_starts_unanswered_total"),
		stopsBegun:       set.NewCounter("daisyswitch_runs_stopped_total"),
		paceCalls:        set.NewCounter("daisyswitch_runs_paced_total"),
		leaseLapses:      map[leaseOrigin]*metrics.Counter{},
		formerOrders:     set.NewCounter("daisyswitch_former_orders_executed_total"),
		runEnds:          map[wire.RunOutcome]*metrics.Counter{},
		acksDeferred:     set.NewCounter("daisyswitch_end_acknowledgements_deferred_total"),
		startCall:        set.NewHistogram("daisyswitch_start_call_seconds"),
		round:            set.NewHistogram("daisyswitch_place_round_seconds"),
		offerLooks:       set.NewCounter("daisyswitch_place_looks_total"),
		commitTime:       set.NewHistogram("daisyswitch_workflow_commit_seconds"),
		smallStartWait:   set.NewHistogram(`daisyswitch_task_start_wait_seconds{size="small"}`),
		largeStartWait:   set.NewHistogram(`daisyswitch_task_start_wait_seconds{size="large"}`),
		reservationsMade: set.NewCounter("daisyswitch_reservations_made_total"),
		firstStartWait:   set.NewHistogram("daisyswitch_workflow_first_start_seconds"),
	}
	for _, origin := range leaseOrigins {
		c.leaseLapses[origin] = set.NewCounter(fmt.Sprintf("daisyswitch_worker_leases_lapsed_total{counted_from=%q}", origin))
	}
	for outcome, name := range wire.RunOutcome_name {
		c.runEnds[wire.RunOutcome(outcome)] = set.NewCounter(fmt.Sprintf("daisyswitch_runs_ended_total{outcome=%q}", name))
	}
	return c
}

// workflowsEnded returns the counter of ended workflows for a queue, by its name and place, end state and lateness.
func (c *counters) workflowsEnded(name string, place workflow.Place, state string, reached lateness) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("daisyswitch_workflows_ended_total{queue=%q,place=%q,state=%q,reached=%q}", name, place, state, reached))
}

// reservationsEnded returns the counter of ended reservations for an outcome.
func (c *counters) reservationsEnded(outcome string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("daisyswitch_reservations_ended_total{outcome=%q}", outcome))
}

// observeSince records the time elapsed since began.
func observeSince(h *metrics.Histogram, began time.Time) {
	h.Update(time.Since(began).Seconds())
}
