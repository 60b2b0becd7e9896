package dispatch

import (
	"testing"

	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// TestReplicaThatDoesNotLeadKeepsNoNews guards against followers that accumulate updates, which only a leader consumes.
func TestReplicaThatDoesNotLeadKeepsNoNews(t *testing.T) {
	l := New(Options{})
	for range 100 {
		l.Assigned(&workflow.Task{})
		l.Closed(&workflow.Job{})
		l.Ended(&workflow.Job{})
	}
	kept := l.takeUpdates()
	assert.Equal(t, len(kept.assigned)+len(kept.closed)+len(kept.ended), 0)
}
