// Package room finds workers that have room for a task, speaking to the policy alone: a search costs the depth of a tree and not the number of workers.
package room
