// Package raft is the replicated log as a pure step function: messages, ticks and proposals go in; records to sync, messages to send and entries to apply come out. It speaks to no one itself: package replica drives it with a disk, a clock and peers.
package raft
