package dispatch_test

import (
	"bytes"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

var lapsedOnce = regexp.MustCompile(`daisyswitch_worker_leases_lapsed_total\{.*\} 1\b`)

// TestLapsesAreCountedByTheOriginOfTheLease guards against lapses whose metric does not tell from which order the lease was counted.
func TestLapsesAreCountedByTheOriginOfTheLease(t *testing.T) {
	silence := func(b *testBench) { b.locked(func() { b.workers["w0"].silent = true }) }
	for origin, prepare := range map[string]func(*testBench){
		"own_grant": silence,
		"first_call": func(b *testBench) {
			silence(b)
			b.metrics = metrics.NewSet()
			b.lead(2)
		},
		"former_order": func(b *testBench) {
			b.locked(b.workers["w0"].restart)
			silence(b)
			b.workers["w0"].announce()
		},
		"first_answer": func(b *testBench) {
			b.locked(b.workers["w0"].restart)
			b.workers["w0"].announce()
			time.Sleep(time.Second)
			silence(b)
		},
		"restart": func(b *testBench) {
			b.locked(b.workers["w0"].restart)
			time.Sleep(time.Second)
			silence(b)
		},
	} {
		t.Run(origin, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBench(t, 1, big)
				b.metrics = metrics.NewSet()
				b.loop.Store(b.newLoop())
				b.loop.Load().SetTable(b.table)
				b.lead(1)
				defer b.depose()
				time.Sleep(10 * time.Second)
				prepare(b)
				time.Sleep(15 * time.Second)
				var out bytes.Buffer
				b.metrics.WritePrometheus(&out)
				assert.DeepEqual(t, lapsedOnce.FindAllString(out.String(), -1), []string{`daisyswitch_worker_leases_lapsed_total{counted_from="` + origin + `"} 1`})
			})
		})
	}
}
