// Package clock reads a clock that keeps counting while an instance is suspended, unlike Go's monotonic clock.
package clock
