package promise

import (
	"fmt"
	"io"
	"sort"
)

const (
	secondUS     = 1000 * 1000
	shownPerRule = 3 // violations printed per rule
)

// Result is the result of checking one promise.
type Result struct {
	Promise    string
	Observed   int      // number of cases checked
	Violations []string // one human-readable line each
}

// OK reports whether the promise was observed at least once and never violated.
func (r *Result) OK() bool {
	return r.Observed > 0 && len(r.Violations) == 0
}

func (r *Result) addViolation(format string, a ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, a...))
}

// Check checks the records against every promise, in the order of the users' list.
func Check(r *Records) []*Result {
	rules := []struct {
		promise string
		check   func(*Records, *Result)
	}{
		{"no instance committed beyond its capacity", capacity},
		{"no task runs in two places at once", singleRun},
		{"evicted work resumes exactly once", resumes},
		{"no start in a domain 3 s after it is out", domainOut},
		{"every answer whole and its own", wholeAnswers},
		{"what was refused as not-run did not run", notRun},
		{"a non-idempotent request runs at most once", atMostOnce},
		{"no work for an upstream 3 s after it leaves", leaving},
		{"a planned stop cuts no request", plannedStop},
		{"accepted configuration in force in 5 s, kept", configuration},
	}
	results := make([]*Result, len(rules))
	for i, rule := range rules {
		results[i] = &Result{Promise: rule.promise}
		rule.check(r, results[i])
		sort.Strings(results[i].Violations)
	}
	return results
}

// OK reports whether every promise was observed at least once and never violated.
func OK(results []*Result) bool {
	for _, r := range results {
		if !r.OK() {
			return false
		}
	}
	return true
}

// Print writes the table of promises, with the first few violations of each.
func Print(w io.Writer, results []*Result) {
	fmt.Fprintf(w, "    %-45s %10s %9s\n", "promise", "violations", "observed")
	for i, r := range results {
		note := ""
		if r.Observed == 0 {
			note = "  not observed"
		}
		fmt.Fprintf(w, "%2d  %-45s %10d %9d%s\n", i+1, r.Promise, len(r.Violations), r.Observed, note)
		for n, violation := range r.Violations {
			if n == shownPerRule {
				fmt.Fprintf(w, "      and %d more\n", len(r.Violations)-n)
				break
			}
			fmt.Fprintf(w, "      %s\n", violation)
		}
	}
}
