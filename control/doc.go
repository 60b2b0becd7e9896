// Package control is the control process: a replica of the log, the state that it carries, and on the leader the scheduling loop and the answers to workers; it speaks drpc to entries.
package control
