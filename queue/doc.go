// Package queue holds requests that wait for a slot. A request that is not expected to get one within its longest wait is refused at once.
package queue
