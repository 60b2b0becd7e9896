// Package pick selects the upstream for a request. Its functions are pure: they use no clock, locks or I/O.
package pick
