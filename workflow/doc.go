// Package workflow is the part of the replicated state that holds workflows (jobs of ordered steps) and the called workers to which their tasks are committed.
//
// It has no clock, randomness or I/O. Package dispatch makes its decisions from this state, and package platform feeds in the requests of callers, workers and operators.
package workflow
