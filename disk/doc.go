// Package disk keeps a replica's log, hard state and snapshots as plain files under one data folder. It speaks to the file system only.
package disk
