// Package tally counts per class what was done, failed and evicted.
package tally
