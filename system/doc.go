// Package system holds the tests that run real processes on loopback and kill, freeze and restart them.
package system
