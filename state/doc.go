// Package state implements the replicated state machine: the same commands in the same order give the same state on every replica.
//
// It holds the configuration, the answers to operators, the audit trail and the tables of package job.
// It uses no clock, randomness or I/O. Package control applies the committed log to it and reads from it.
package state
