// Package entries holds the entries of one replica's log in memory and tracks up to which index they are committed and synced. It has no I/O; package raft decides which entries are added and removed.
package entries
