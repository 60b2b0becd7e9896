// Command slopes measures how the cost of each role grows with size and writes the results into docs/CAPACITY.md and docs/slopes.png.
package main

import (
	"fmt"
	"os"

	"daisyswitch/slope"
)

const (
	reportFile = "docs/CAPACITY.md"
	plotFile   = "docs/slopes.png"
)

func main() {
	var results []slope.Result
	for _, m := range slope.Measures() {
		r := slope.RunMeasure(m)
		fmt.Println(r.Row())
		results = append(results, r)
	}
	err := slope.UpdatePage(reportFile, results)
	if err == nil {
		err = slope.Plot(plotFile, "Costs of the roles", "size, share of the largest measured", "cost, share of the largest", slope.RelativeSeries(results))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}
