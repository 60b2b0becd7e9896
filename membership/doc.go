// Package membership decides who belongs to a group of replicas and who votes in it, one change at a time: pure decisions, which package replica has committed.
package membership
