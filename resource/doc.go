// Package resource defines amounts of processors, memory and accelerators: the capacity of a worker or the size of a task.
package resource
