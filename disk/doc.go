// Package disk stores a replica's log, hard state and snapshots in plain files of one data folder. It does no I/O but on the file system.
package disk
