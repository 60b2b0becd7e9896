// Package entry is the entry process: the fronts for callers, upstreams, workers and operators, wired to control and to the other entries; its state is in memory only.
package entry
