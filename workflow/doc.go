// Package workflow is the part of the replicated state that holds workflows, which are jobs of ordered steps, and the called workers that their tasks are committed to.
//
// It has no clock, randomness or I/O. Package dispatch decides from it, and package platform brings in what callers, workers and operators say.
package workflow
