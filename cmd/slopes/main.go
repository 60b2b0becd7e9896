// Command slopes measures the costs of the roles and writes them into the page on capacity.
package main

import (
	"fmt"
	"os"

	"daisyswitch/slope"
)

const (
	page    = "docs/CAPACITY.md"
	picture = "docs/slopes.png"
)

func main() {
	var results []slope.Result
	for _, m := range slope.Measures() {
		r := slope.Take(m)
		fmt.Println(r.Row())
		results = append(results, r)
	}
	err := slope.Write(page, results)
	if err == nil {
		err = slope.Plot(picture, "Costs of the roles", "size, share of the largest measured", "cost, share of the largest", slope.Shares(results))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}
