// Package serial runs tasks one after the other in the background, so that the goroutine that queues them never blocks. Package replica uses it to apply records and to answer reads.
package serial
