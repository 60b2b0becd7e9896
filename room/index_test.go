package room_test

import (
	"flag"
	"testing"

	"daisyswitch/resource"
	"daisyswitch/room"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// init sets a fixed seed, so that the test is reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestNext compares the tree with a linear search of all slots.
func TestNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := room.New()
		free := map[int]resource.Size{}
		size := func() resource.Size {
			amount := rapid.Int64Range(0, 4)
			return resource.Size{MilliCPU: amount.Draw(t, "cpu"), MemoryMiB: amount.Draw(t, "memory"), Accelerators: amount.Draw(t, "accelerators")}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(*rapid.T) { s := size(); free[x.Add(s)] = s },
			"change": func(t *rapid.T) {
				slot := rapid.IntRange(0, x.Len()).Draw(t, "slot")
				if _, there := free[slot]; !there {
					return
				}
				if rapid.Bool().Draw(t, "remove") {
					x.Remove(slot)
					delete(free, slot)
					return
				}
				free[slot] = size()
				x.Set(slot, free[slot])
			},
			"": func(t *rapid.T) {
				s, want := size(), -1
				from := rapid.IntRange(0, x.Len()).Draw(t, "from")
				for slot := x.Len() - 1; slot >= from; slot-- {
					if room, there := free[slot]; there && s.Fits(room) {
						want = slot
					}
				}
				assert.Equal(t, x.Next(s, from), want)
			},
		})
	})
}
