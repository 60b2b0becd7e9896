// Package task reads and copies task records, which are immutable once published.
package task
