// Package worker speaks to workers: the JSON bodies of their polls and the front of an entry that serves them.
package worker
