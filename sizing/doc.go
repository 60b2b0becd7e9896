// Package sizing turns measured usage into the size to commit, for the policy alone, because declared sizes are far off.
package sizing
