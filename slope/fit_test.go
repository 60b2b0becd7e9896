package slope_test

import (
	"math"
	"testing"

	"daisyswitch/slope"

	"gotest.tools/v3/assert"
)

func TestFitFindsTheLine(t *testing.T) {
	line := slope.Fit([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	assert.Assert(t, math.Abs(line.At(100)-203) < 1e-9)
	assert.Assert(t, line.Residual < 1e-9)
}

func TestResidualTellsACurve(t *testing.T) {
	line := slope.Fit([]float64{1, 2, 3, 4}, []float64{1, 4, 9, 16})
	assert.Assert(t, line.Residual > 0.05)
}
