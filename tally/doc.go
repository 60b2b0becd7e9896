// Package tally counts the completed, failed and evicted tasks of each class.
package tally
