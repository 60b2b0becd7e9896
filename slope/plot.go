package slope

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Series is one named line of a plot.
type Series struct {
	Name   string
	Points plotter.XYs
}

// Plot writes a line plot of the series to file, in the format given by its extension.
func Plot(file, title, x, y string, series []Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, s := range series {
		lines = append(lines, s.Name, s.Points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", title, err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot %s: %w", title, err)
	}
	return nil
}

// RelativeSeries returns each result as a series with sizes and costs relative to those at the largest size, so that all fit into one plot.
func RelativeSeries(results []Result) []Series {
	var all []Series
	for _, r := range results {
		s := Series{Name: r.Role + ": " + r.Unit + " per " + r.Per}
		last := len(r.Sizes) - 1
		for i, size := range r.Sizes {
			s.Points = append(s.Points, plotter.XY{X: float64(size) / float64(r.Sizes[last]), Y: r.Costs[i] / r.Costs[last]})
		}
		all = append(all, s)
	}
	return all
}
