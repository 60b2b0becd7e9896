// Package job is the part of the replicated state that holds jobs, their tasks and the workers that the tasks are committed to.
package job
