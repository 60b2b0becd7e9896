package pick_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"daisyswitch/pick"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

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

// TestQuotasDivideAllSlots expects of any entries and upstreams that each slot falls to exactly one entry, and that a near one is preferred where a domain has none to spare.
func TestQuotasDivideAllSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		var entries []pick.Member
		for i := range rapid.IntRange(1, 9).Draw(t, "entries") {
			entries = append(entries, pick.Member{Name: fmt.Sprint("e", i), Domain: domains.Draw(t, "domain")})
		}
		var upstreams []pick.Share
		for i := range rapid.IntRange(0, 20).Draw(t, "upstreams") {
			upstreams = append(upstreams, pick.Share{ID: fmt.Sprint("u", i), Domain: domains.Draw(t, "domain"), Slots: 8})
		}
		sums := make([]int32, len(upstreams))
		for first, e := range entries {
			known := slices.Concat(entries[first:], entries[:first]) // each knows them in an order of its own
			for i, quota := range pick.Quotas(e, known, upstreams) {
				sums[i] += quota
			}
		}
		for i, sum := range sums {
			assert.Equal(t, sum, upstreams[i].Slots)
		}
	})
	quotas := pick.Quotas(pick.Member{Name: "e", Domain: "a"}, []pick.Member{{Name: "e", Domain: "a"}, {Name: "f", Domain: "b"}},
		[]pick.Share{{ID: "u", Domain: "a", Slots: 8}, {ID: "v", Domain: "b", Slots: 8}})
	assert.DeepEqual(t, quotas, []int32{8, 0})
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
