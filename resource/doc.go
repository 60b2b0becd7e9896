// Package resource counts what a worker offers and a task takes: processors, memory and accelerators.
package resource
