// Package queue holds requests that wait for a slot, bounded by time: what cannot get one before its deadline is refused early.
package queue
