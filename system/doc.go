// Package system holds the tests with real processes on loopback: kills, freezes, restarts.
package system
