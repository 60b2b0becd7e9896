package dispatch

import (
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// TestQueuesOfOneNameShareNoRunTimes guards against workflows that count as late, or as in time, by the run times of another queue with the name of theirs.
func TestQueuesOfOneNameShareNoRunTimes(t *testing.T) {
	s := newCrowdedSession(t, 0, 0, 0)
	s.ahead = newAhead(true)
	places := map[workflow.Place]time.Duration{{Host: "h", PathPrefix: "/a/"}: time.Second, {Host: "h", PathPrefix: "/b/"}: time.Minute}
	set := &wire.QueueSet{Version: 2}
	for place := range places {
		set.Queues = append(set.Queues, &wire.Queue{Name: "one", Host: place.Host, PathPrefix: place.PathPrefix, Pool: "p"})
	}
	s.Table.Apply(1, &wire.WorkflowCommand{ByPlace: true, Queues: set})
	numbers := map[int32]bool{}
	for place, took := range places {
		id := "at " + place.PathPrefix
		result := s.Table.Apply(1, &wire.WorkflowCommand{ByPlace: true, Submit: &wire.Workflow{Id: id, Queue: "one", Host: place.Host, PathPrefix: place.PathPrefix, Steps: []*wire.Step{{Count: 1}}}})
		assert.Equal(t, result.Answer, wire.WorkflowAnswer_WORKFLOW_ANSWER_OK)
		s.Table.View(func(v *workflow.Tables) {
			for range minDurationSamples {
				s.recordDuration(&run{task: v.Task(workflow.Name{Workflow: id}), listed: true, firstListedAt: s.SinceBoot() - took})
			}
			numbers[s.ahead.queueNumber(v.Jobs[id].Place())] = true
		})
	}
	for place, took := range places {
		assert.Equal(t, s.usualDuration(place), took)
	}
	s.Table.View(func(v *workflow.Tables) {
		assert.Assert(t, durationKey(v.Jobs["at /a/"].Steps[0]) != durationKey(v.Jobs["at /b/"].Steps[0]))
	})
	assert.Equal(t, len(numbers), 2, "they share what is known to have no room")
}
