// Package replica runs one member of the Raft group. It drives package raft with a data folder, a clock and drpc connections to the other replicas.
package replica
