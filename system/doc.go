// Package system starts real processes on loopback for tests of kills, freezes and restarts; nothing of the product imports it.
package system
