// Package gateway forwards callers' workflow requests to control's leader over one stream, and finds the new leader after a change.
// It calls control over drpc and keeps its state in memory only.
package gateway
