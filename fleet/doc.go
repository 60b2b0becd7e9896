// Package fleet holds what the policy knows of classes, teams, workers, jobs and tasks: who holds what room, and who waits in which order. It speaks to the packages of the policy alone.
package fleet
