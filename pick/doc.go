// Package pick decides which upstream a request goes to: pure decisions over plain candidates, without clock, lock or I/O of its own.
package pick
