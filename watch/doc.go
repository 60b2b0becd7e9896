// Package watch receives the accepted configuration from control's replicas and holds the one that is active in the process, whose version never decreases.
package watch
