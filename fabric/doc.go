// Package fabric implements an in-memory network for tests in virtual time. Hosts can be cut off from each other without an error on either side, as by a network partition.
package fabric
