package headroom_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"daisyswitch/headroom"

	"gotest.tools/v3/assert"
)

// TestHarmfulPairsAreToldFromHarmlessOnes checks that readings taken over a few seconds separate harmful from harmless pairs although they vary with the load.
func TestHarmfulPairsAreToldFromHarmlessOnes(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	table := headroom.New()
	for range 1500 {
		mild, harsh := r.Float64()/4, r.Float64()/4
		reading := 2.3 + 0.9*(2*r.Float64()-1) - 0.5*mild - 8*harsh
		table.Learn("watch", []headroom.Share{{Image: "mild", Share: mild}, {Image: "harsh", Share: harsh}}, reading)
	}
	assert.Assert(t, table.Cost("watch", "mild") < 2, "%v", table.Cost("watch", "mild"))
	assert.Assert(t, table.Cost("watch", "harsh") > 6, "%v", table.Cost("watch", "harsh"))
	assert.Assert(t, table.Cost("watch", "unknown") > 2 && table.Cost("watch", "unknown") < 6)
}

// TestLowMarkFollowsTheSwing checks that the recent minimum falls at once and rises slowly.
func TestLowMarkFollowsTheSwing(t *testing.T) {
	var b headroom.Base
	b.Read(time.Second, 3, 0)
	for i := range 10 {
		b.Read(time.Duration(2+i)*time.Second, 1, 0.5)
	}
	assert.Assert(t, b.Low < 1.6, "%v", b.Low)
	b.Read(13*time.Second, 3, 0)
	assert.Assert(t, b.Now > 2 && b.Low < 1.8, "%v", b)
}
