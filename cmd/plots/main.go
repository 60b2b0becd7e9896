// Command plots draws the tail latency of each upstream selection policy against load.
package main

import (
	"fmt"
	"os"

	"daisyswitch/simulation"
	"daisyswitch/slope"

	"gonum.org/v1/plot/plotter"
)

const (
	outputFile = "docs/latency.png"
	executors  = 50
	domains    = 3
	requests   = 50_000
	seed       = 1
	percentile = 99
)

func main() {
	if err := draw(); err != nil {
		fmt.Fprintln(os.Stderr, "plots:", err)
		os.Exit(1)
	}
}

func draw() error {
	policies := append([]simulation.Policy{simulation.Ideal, simulation.EntryPolicy, simulation.RoundRobin}, simulation.Others...)
	var series []slope.Series
	for _, p := range policies {
		s := slope.Series{Name: p.Name}
		for _, sc := range loadScenarios() {
			result := simulation.Run(sc, p, seed, requests)
			ms := float64(result.Latency.ValueAtPercentile(percentile)) / 1000
			s.Points = append(s.Points, plotter.XY{X: 100 * sc.Load, Y: ms})
		}
		series = append(series, s)
	}
	return slope.Plot(outputFile, "50 executors in 3 failure domains", "load, percent", "p99, milliseconds", series)
}

// loadScenarios returns scenarios that differ only in their load.
func loadScenarios() []simulation.Scenario {
	first := simulation.Scenarios(executors, domains)[0]
	var all []simulation.Scenario
	for _, load := range []float64{0.5, 0.6, 0.7, 0.8, 0.9, 0.95} {
		sc := first
		sc.Load = load
		all = append(all, sc)
	}
	return all
}
