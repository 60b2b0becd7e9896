// Package job holds the jobs, their tasks and the workers of the replicated state, and applies task events and starts to them.
package job
