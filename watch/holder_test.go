package watch_test

import (
	"testing"

	"daisyswitch/watch"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestNeverReverts offers versions in any order, as a deposed leader, a lagging replica and neighbors do.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var applied []uint64
		h := watch.NewHolder(func(c *wire.Configuration) { applied = append(applied, c.Version) })
		newest := uint64(0)
		for _, version := range rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 50).Draw(t, "versions") {
			accepted := h.Offer(&wire.Configuration{Version: version}, "test")
			assert.Equal(t, accepted, version > newest)
			newest = max(newest, version)
			assert.Equal(t, h.Version(), newest)
		}
		for i := 1; i < len(applied); i++ {
			assert.Assert(t, applied[i] > applied[i-1])
		}
	})
}
