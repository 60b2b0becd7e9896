package lookahead_test

import (
	"testing"
	"time"

	"daisyswitch/lookahead"
	"daisyswitch/resource"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestForecastCoversTheTask guards against a forecast whose capacity is not free at its start, or that withholds more than is free now.
func TestForecastCoversTheTask(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) resource.Size {
		return resource.Size{MilliCPU: rapid.Int64Range(0, 10).Draw(t, "cpu"), MemoryMiB: rapid.Int64Range(0, 10).Draw(t, "memory")}
	})
	rapid.Check(t, func(t *rapid.T) {
		free, size := draw.Draw(t, "free"), draw.Draw(t, "size")
		releases := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) lookahead.Release {
			return lookahead.Release{In: time.Duration(rapid.IntRange(0, 5).Draw(t, "in")), Size: draw.Draw(t, "released")}
		}), 0, 6).Draw(t, "releases")
		total := free
		for _, r := range releases {
			total = total.Add(r.Size)
		}
		f, ok := lookahead.Predict(free, releases, size)
		assert.Equal(t, ok, size.Fits(total))
		if !ok {
			return
		}
		then := free
		for _, r := range releases {
			if r.In <= f.In {
				then = then.Add(r.Size)
			}
		}
		assert.Assert(t, size.Fits(then))
		assert.Assert(t, f.Held.Fits(free.Max(resource.Size{})), "%v of %v", f.Held, free)
		assert.Equal(t, f.Held.Add(f.Released), size)
	})
}

// TestRemainingTimeGrowsWithTheTail guards against a slow run being predicted to end as soon as one that has just begun.
func TestRemainingTimeGrowsWithTheTail(t *testing.T) {
	d := &lookahead.Distribution{}
	for i := range 1000 {
		run := time.Second
		if i%20 == 0 {
			run = 7 * time.Second
		}
		d.Record(run)
	}
	fresh, ok := d.Remaining(0, 0.75)
	assert.Assert(t, ok && fresh < 1300*time.Millisecond, fresh)
	slow, ok := d.Remaining(2*time.Second, 0.75)
	assert.Assert(t, ok && slow > 4*time.Second, slow)
	_, ok = d.Remaining(20*time.Second, 0.75)
	assert.Assert(t, !ok)
}

// BenchmarkForecast measures the forecast of one worker with nine runs.
func BenchmarkForecast(b *testing.B) {
	d := &lookahead.Distribution{}
	for i := range 100 {
		d.Record(time.Duration(50+i) * 10 * time.Millisecond)
	}
	releases := make([]lookahead.Release, 0, 9)
	for b.Loop() {
		releases = releases[:0]
		for i := range 9 {
			r, _ := lookahead.ReleaseOf(d, time.Duration(i)*100*time.Millisecond, resource.Size{MilliCPU: 1000, MemoryMiB: 100})
			releases = append(releases, r)
		}
		lookahead.Predict(resource.Size{MilliCPU: 1000}, releases, resource.Size{MilliCPU: 3000, MemoryMiB: 100})
	}
}

// BenchmarkRecord measures the record of one run.
func BenchmarkRecord(b *testing.B) {
	durations := lookahead.NewDurations()
	for b.Loop() {
		durations.Record(lookahead.Key{Queue: "q", Image: "i"}, 700*time.Millisecond)
	}
}
