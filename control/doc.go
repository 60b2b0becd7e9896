// Package control implements the control process: a replica of the log with its state machine and, on the leader, the scheduling loop and the replies to workers.
// It serves entries over drpc.
package control
