package slope

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line fitted to measurements by least squares.
type Line struct {
	Base     float64 // at size 0
	Slope    float64 // per unit of size
	Residual float64 // root mean square error, relative to the mean measurement
}

// Fit returns the least-squares line through the points.
func Fit(sizes, costs []float64) Line {
	base, slope := stat.LinearRegression(sizes, costs, nil, false)
	squares := 0.0
	for i := range sizes {
		distance := costs[i] - (base + slope*sizes[i])
		squares += distance * distance
	}
	mean := stat.Mean(costs, nil)
	if mean == 0 {
		return Line{Base: base, Slope: slope}
	}
	return Line{Base: base, Slope: slope, Residual: math.Sqrt(squares/float64(len(sizes))) / math.Abs(mean)}
}

// At returns the cost that the line gives for a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}
