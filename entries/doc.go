// Package entries holds the entries of one replica's log in memory, with how far they are committed and synced; it speaks to no one: package raft decides what goes in and what may go.
package entries
