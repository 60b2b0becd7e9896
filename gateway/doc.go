// Package gateway passes callers' workflows on to control's leader, over one stream, and finds that leader again when it changes.
// It speaks drpc to control; its state is in memory only.
package gateway
