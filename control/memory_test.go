package control

import (
	"fmt"
	"testing"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// TestMemoryIsReservedForSubmissionsInFlight guards against submissions that are committed at the same time and together take more than the limit, and against reservations that outlast them.
func TestMemoryIsReservedForSubmissionsInFlight(t *testing.T) {
	w := &wire.Workflow{Steps: []*wire.Step{{Count: 1}}}
	cost := workflow.Cost(w)
	m := &memory{limit: 3 * cost}
	for i := range 2 {
		_, ok := m.reserve(cost, cost)
		assert.Assert(t, ok, fmt.Sprint(i))
	}
	missing, ok := m.reserve(cost, cost)
	assert.Assert(t, !ok)
	assert.Equal(t, missing, cost)
	m.release(nil)
	m.release(w)
	_, ok = m.reserve(cost, cost)
	assert.Assert(t, ok)
	unlimited := &memory{}
	_, ok = unlimited.reserve(1<<40, 1<<40)
	assert.Assert(t, ok)
}
