// Package membership decides which replicas belong to a group and which of them vote, one change at a time. It has no I/O; package replica proposes the changes.
package membership
