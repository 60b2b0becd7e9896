// Package replica takes part in the replicated log: it drives package raft with a data folder, a clock and connections to the other replicas, to which it speaks drpc.
package replica
