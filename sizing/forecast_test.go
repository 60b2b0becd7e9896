package sizing

import (
	"math"
	"testing"

	"daisyswitch/resource"

	"gotest.tools/v3/assert"
)

func cores(n float64) resource.Size {
	return resource.Size{MilliCPU: int64(1000 * n), MemoryMiB: 1}
}

// TestForecast checks that the declared size is used until there are measurements.
// Then the better predictor of the program's history and the declared size dominates, and a job's own tasks take precedence over both.
func TestForecast(t *testing.T) {
	near := func(f *Forecast, declared float64, job *Sample, want float64) {
		t.Helper()
		got := float64(f.Size(cores(declared), job, Caution{}).MilliCPU) / 1000
		assert.Assert(t, math.Abs(math.Log(got/want)) < 0.3, "%v, want about %v", got, want)
	}
	var unknown, wild, scaled Forecast
	near(&unknown, 8, &Sample{}, 8)
	for n := range 20 {
		wild.Add(cores(2), cores([]float64{0.5, 8}[n%2]))          // same size, arbitrary declared sizes
		scaled.Add(cores(float64(1+n%8)), cores(4*float64(1+n%8))) // different sizes, declared four times too large
	}
	near(&wild, 8, &Sample{}, 2)
	near(&scaled, 32, &Sample{}, 8)
	near(&scaled, 4, &Sample{}, 1)
	var job Sample
	job.Add(cores(6))
	near(&wild, 8, &job, 6)
}
