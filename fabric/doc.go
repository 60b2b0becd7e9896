// Package fabric is a network in memory for tests in virtual time: hosts that can be cut from each other in silence, as a partition does.
package fabric
