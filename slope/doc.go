// Package slope measures the cost of each role at several sizes, fits straight lines and extrapolates to the design size. It runs within one process.
package slope
