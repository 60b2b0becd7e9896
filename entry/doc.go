// Package entry assembles the entry process, which serves callers, upstreams, workers and operators and connects to control and to the other entries. It keeps its state in memory only.
package entry
