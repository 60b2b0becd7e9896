// Package group runs the goroutines of long-lived parts, so that their owner can wait for them and none can die unseen.
package group
