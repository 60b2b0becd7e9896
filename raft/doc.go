// Package raft implements the Raft consensus algorithm as a pure step function. Its inputs are messages, ticks and proposals; its outputs are records to sync, messages to send and entries to apply. It performs no I/O: package replica drives it with a disk, a clock and connections to the peers.
package raft
