// Package group runs the goroutines of long-running components. Their owner can wait for them, and a panic in any of them ends the process.
package group
