// Package usage processes the workers' reports, which lag, for the scheduling policy: the sizes of tasks, the interference between them, and how close services are to their latency targets.
package usage
