package proposal

import (
	"testing"

	"daisyswitch/verdict"

	"gotest.tools/v3/assert"
)

// TestTakenOrWithdrawn has one caller withdraw its proposal before the loop takes it and one after.
func TestTakenOrWithdrawn(t *testing.T) {
	early, late := New([]byte("early")), New([]byte("late"))
	more := make(chan *Proposal, 1)
	more <- late
	assert.Equal(t, early.Withdraw(), verdict.NotRun)
	batch := Batch(early, more)
	assert.Equal(t, len(batch), 1)
	assert.Assert(t, batch[0] == late)
	assert.Equal(t, late.Withdraw(), verdict.Unknown)
}
