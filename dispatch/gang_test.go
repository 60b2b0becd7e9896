package dispatch_test

import (
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// TestGangThatFindsNoRoomKeepsNothingFromRunning guards against taking the room that is left beside a gang's first tasks for what is left once the gang was not placed.
func TestGangThatFindsNoRoomKeepsNothingFromRunning(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		b.submit("short", "gang", &wire.Step{Count: 18, Size: unit, ExpectedMs: 500, Gang: true})
		b.submit("short", "job", short(3))
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.state("job"), workflow.StateCompleted)
	})
}
