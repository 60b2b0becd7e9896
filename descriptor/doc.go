// Package descriptor divides a process's file descriptors among the kinds of its connections and bounds one kind.
package descriptor
