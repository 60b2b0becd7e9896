// Package clock reads the clock that goes on counting while an instance is suspended, which Go's monotonic clock does not.
package clock
