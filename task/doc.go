// Package task reads and copies the records of tasks, which are never altered once they are told of.
package task
