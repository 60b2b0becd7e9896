package clock_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/clock"

	"gotest.tools/v3/assert"
)

// TestPauseIsKnownBeforeAnythingElseIsDone checks that the first question after a pause already tells of it.
func TestPauseIsKnownBeforeAnythingElseIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		began := time.Now()
		now := func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) + time.Hour }
		d := clock.NewPauseDetector(now, time.Second)
		defer d.Close()
		time.Sleep(10 * time.Second)
		assert.Assert(t, !d.Recent())
		suspended.Add(int64(5 * time.Second))
		assert.Assert(t, d.Recent())
		time.Sleep(900 * time.Millisecond)
		assert.Assert(t, d.Recent())
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, !d.Recent())
	})
}
