// Command slopes measures the costs of the roles and writes them into the page on capacity.
package main

import (
	"fmt"
	"os"

	"daisyswitch/slope"
)

const page = "docs/CAPACITY.md"

func main() {
	var results []slope.Result
	for _, m := range slope.Measures() {
		r := slope.Take(m)
		fmt.Println(r.Row())
		results = append(results, r)
	}
	if err := slope.Write(page, results); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}
