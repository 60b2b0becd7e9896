package measure_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"daisyswitch/measure"
	"daisyswitch/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// TestTailIsOverAllRequests checks that the percentile is that of all requests in the window, not the highest of the small samples that are merged.
func TestTailIsOverAllRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	table, now := measure.New(), time.Unix(1000, 0)
	all := hdrhistogram.New(1, 3_600_000_000, 2)
	for second := range 10 {
		for _, entry := range []string{"a", "b", "c", "d", "e", "f"} {
			one := hdrhistogram.New(1, 3_600_000_000, 2)
			for range 50 {
				us := 5000 + random.Int64N(1000)
				if random.IntN(200) == 0 {
					us = 100_000
				}
				one.RecordValue(us)
				all.RecordValue(us)
			}
			latencies, err := one.EncodeV2()
			assert.NilError(t, err)
			sample := &wire.ServiceSample{Class: "bids", Requests: 50, P99Us: one.ValueAtPercentile(99), Latencies: latencies}
			table.Heard(now.Add(time.Duration(second)*time.Second), &wire.ReportBatch{Entry: entry, Samples: []*wire.ServiceSample{sample}})
		}
	}
	got := table.Class(now.Add(9*time.Second), "bids")
	assert.Equal(t, got, measure.Class{Requests: 3000, P99US: all.ValueAtPercentile(99)})
	assert.Assert(t, got.P99US < 10_000)
	assert.Equal(t, table.Class(now.Add(30*time.Second), "bids"), measure.Class{})
	table.Heard(now, &wire.ReportBatch{Entry: "old", Samples: []*wire.ServiceSample{{Class: "bids", Requests: 1, P99Us: 70_000}}})
	assert.Equal(t, table.Class(now, "bids").P99US, int64(70_000), "a sample without latencies")
}
