// Package state is the replicated state machine: the same commands in the same order give the same state on every replica.
//
// It holds the configuration with the answers to operators and the audit trail, and the tables of package job.
// It has no clock, randomness or I/O; control feeds it the committed log and reads it.
package state
