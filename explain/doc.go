// Package explain tells the story of one workflow from the logs of all processes; it speaks to no one.
package explain
