// Package fleet holds the scheduling policy's view of classes, teams, workers, jobs and tasks: the capacity that each task holds, and the order in which tasks wait. It has no I/O; only the packages of the policy use it.
package fleet
