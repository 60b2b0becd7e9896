// Package sizing computes the size to commit for a task from measured usage, because declared sizes are often far off. Only the scheduling policy uses it.
package sizing
