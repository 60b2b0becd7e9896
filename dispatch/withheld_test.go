package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// TestWithheldCapacityGoesToTasksThatEndInTime guards against a reservation that keeps short tasks out, that lets long ones in, and against a shortage of the long ones that hides the room from short ones of the same image.
func TestWithheldCapacityGoesToTasksThatEndInTime(t *testing.T) {
	s := newDrainingSession(t, 1, 0)
	s.ahead = newAhead(true)
	learn(s, "short", time.Second)
	learn(s, "filling", 20*time.Millisecond)
	var started []string
	s.Commit = func(_ context.Context, c *wire.WorkflowCommand) (*workflow.Result, error) {
		for _, start := range c.GetStarts() {
			started = append(started, workflow.NameOf(start.GetTask()).Workflow)
		}
		result := s.Table.Apply(time.Now().UnixMilli(), c)
		return result, nil
	}
	submit := func(id, queue string, milliCPU int64) {
		s.Table.Apply(time.Now().UnixMilli(), &wire.WorkflowCommand{Submit: &wire.Workflow{Id: id, Queue: queue, Steps: []*wire.Step{{Count: 1, Size: &wire.Size{MilliCpu: milliCPU, MemoryMib: 1}}}}})
	}
	submit("a-large", "short", 3000)
	submit("b-long", "short", 400)
	submit("c-brief", "filling", 400)
	assert.Assert(t, s.placeWaiting())
	assert.DeepEqual(t, started, []string{"c-brief"})
	assert.Equal(t, s.ahead.books["p"].Len(), 1)

	s.Table.Apply(time.Now().UnixMilli(), &wire.WorkflowCommand{Cancel: "a-large"})
	assert.Assert(t, s.placeWaiting())
	assert.Assert(t, slices.Contains(started, "b-long"), "the room is withheld for a workflow that was cancelled")
	assert.Equal(t, s.ahead.books["p"].Len(), 0)
}
