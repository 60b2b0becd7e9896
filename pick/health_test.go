package pick_test

import (
	"testing"
	"time"

	"daisyswitch/pick"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestEjectionIsBounded lets any set of upstreams fail or be slow, and expects that never more than the stated share is ejected,
// that only outliers are, and that all come back.
func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 65).Draw(t, "upstreams")
		now := epoch
		candidates := make([]*pick.Candidate, n)
		faults := make([]int, n)
		for i := range candidates {
			candidates[i] = &pick.Candidate{}
			faults[i] = rapid.IntRange(0, 2).Draw(t, "fault") // none, slow, failing
		}
		most := max(n*pick.MaxEjectedPercent/100, min(1, n/3))
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			for i, c := range candidates {
				switch faults[i] {
				case 0:
					c.Answered(20 * time.Millisecond)
				case 1:
					c.Answered(200 * time.Millisecond)
				case 2:
					c.Failed()
				}
			}
			pick.Assess(now, candidates)
			ejected := 0
			for i, c := range candidates {
				if c.Ejected {
					ejected++
					assert.Assert(t, faults[i] != 0)
				}
			}
			assert.Assert(t, ejected <= most, "%d of %d", ejected, n)
		}
		now = now.Add(time.Minute)
		for range 2 {
			for i := range candidates {
				candidates[i].Failures = 0
				candidates[i].Samples = 0
			}
			pick.Assess(now, candidates)
		}
		for _, c := range candidates {
			assert.Assert(t, !c.Ejected)
		}
	})
}

// TestOutlierIsEjected expects a failing and a slow upstream among ten to be out while the others serve.
func TestOutlierIsEjected(t *testing.T) {
	candidates := make([]*pick.Candidate, 10)
	for i := range candidates {
		candidates[i] = &pick.Candidate{}
	}
	for range 30 {
		for i, c := range candidates {
			switch i {
			case 3:
				c.Failed()
			case 4:
				c.Answered(time.Second)
			default:
				c.Answered(20 * time.Millisecond)
			}
		}
	}
	pick.Assess(epoch, candidates)
	for i, c := range candidates {
		assert.Equal(t, c.Ejected, i == 3 || i == 4, "%d", i)
	}
}
