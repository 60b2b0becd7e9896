// Package share divides workers among workspaces. It has no clock and no state of its own.
package share
